//! Interface for reading a stream page by page, for code that computes its
//! state from records without doing I/O itself.

/// One page of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StreamPage {
    /// The oldest retained offset.
    pub first: u64,
    /// The offset of the next record to be appended.
    pub end: u64,
    /// Records with their offsets, in order.
    pub records: Vec<(u64, Vec<u8>)>,
}

/// A source of stream pages that does not wait for new records.
pub trait PageSource {
    /// The error of a page that cannot be read.
    type Error: std::error::Error + 'static;

    /// Returns the page of `stream` from offset `from`, without records if the
    /// records from there on have expired.
    ///
    /// # Errors
    ///
    /// Fails when the stream cannot be read.
    fn page(&self, stream: &str, from: u64) -> Result<StreamPage, Self::Error>;
}
