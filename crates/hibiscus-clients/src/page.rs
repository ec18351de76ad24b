//! The log service as a source of pages.

use std::time::Duration;

use hibiscus_types::page::PageSource;
use hibiscus_types::page::StreamPage;

use crate::log::HttpLog;
use crate::log::LogError;
use crate::log::LogService;
use crate::log::Result;

impl PageSource for HttpLog {
    type Error = LogError;

    fn page(&self, stream: &str, from: u64) -> Result<StreamPage> {
        let page = match self.read(stream, from, Duration::ZERO) {
            Ok(page) => page,
            Err(LogError::Expired { first, .. }) => {
                return Ok(StreamPage {
                    first,
                    end: first,
                    records: Vec::new(),
                });
            }
            Err(error) => return Err(error),
        };
        let records = page.records.into_iter();
        Ok(StreamPage {
            first: page.first,
            end: page.end,
            records: records.map(|record| (record.offset, record.data)).collect(),
        })
    }
}
