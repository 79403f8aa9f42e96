//! The lines of the command channel.

use crate::list_event::{ListEvent, event};
use crate::net::{Decode, WireError};
use crate::oddity;
use fernspan_settings::json;

/// A line of the channel.
#[derive(Debug)]
pub enum Line {
    /// A change of the list of servers.
    Event(ListEvent),
    /// The number of the last event, said every second.
    Last(u64),
}

/// Cuts the bytes of a channel into lines.
pub struct LineDecoder {
    /// Longest line, in bytes.
    pub most: usize,
    /// The zones by their numbers.
    pub zones: Vec<String>,
}

impl Decode for LineDecoder {
    type Message = Line;

    fn decode(&mut self, bytes: &[u8]) -> Result<Option<(Line, usize)>, WireError> {
        let Some(end) = bytes.iter().position(|b| *b == b'\n') else {
            return if bytes.len() > self.most { Err(WireError::TooLong) } else { Ok(None) };
        };
        let text = std::str::from_utf8(&bytes[..end]).map_err(|_| WireError::Malformed("line is no text"))?;
        let line = match text.trim().parse() {
            Ok(last) => Line::Last(last),
            Err(_) => {
                let value = json::parse(text).map_err(|_| WireError::Malformed("line is no JSON"))?;
                let mut oddities = Vec::new();
                let event = event(&value, &self.zones, &mut oddities).map_err(|e| {
                    tracing::warn!("command channel: {e}");
                    WireError::Malformed("event")
                })?;
                oddity::log(&oddities);
                Line::Event(event)
            }
        };
        Ok(Some((line, end + 1)))
    }
}
