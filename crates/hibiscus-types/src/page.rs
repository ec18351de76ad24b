//! Reading a stream page by page, for folds that do no I/O of their own.

/// One page of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StreamPage {
    /// The oldest retained offset.
    pub first: u64,
    /// The offset that the next append will take.
    pub end: u64,
    /// Records with their offsets, in order.
    pub records: Vec<(u64, Vec<u8>)>,
}

/// Reads pages of streams without waiting.
pub trait PageSource {
    /// Why a page cannot be read.
    type Error: std::error::Error + 'static;

    /// The page of `stream` from offset `from`, without records when they
    /// have expired.
    ///
    /// # Errors
    ///
    /// Fails when the stream cannot be read.
    fn page(&self, stream: &str, from: u64) -> Result<StreamPage, Self::Error>;
}
