//! Connections to the command channel.

use std::time::Duration;

/// When the command channel is connected to.
#[derive(Clone, Debug)]
pub struct ChannelLimits {
    /// Connections at once at most.
    pub connections: usize,
    /// Silence of a channel that has spoken after which another connection is opened. It says something every second, and what
    /// it tells counts as told 4 s after it has stopped.
    pub silence: Duration,
    /// Wait for a connection to come up before another is opened.
    pub connect_interval: Duration,
    /// Wait for a connection's first word before another is opened: twice this is more than the 7 s after which all counts as
    /// told, and once this, a wait and a connect are less than the 6 s after which a change does that can be heard.
    pub first_word_interval: Duration,
    /// A line that has begun is whole by then.
    pub line_timeout: Duration,
    /// Wait after the end of the only connection, on average. After a break, this and a connect have 2 s.
    pub retry: Duration,
    /// The same while another connection waits for its first word.
    pub retry_beside_another: Duration,
}

impl Default for ChannelLimits {
    fn default() -> Self {
        ChannelLimits {
            connections: 2,
            silence: Duration::from_millis(2_200),
            connect_interval: Duration::from_secs(2),
            first_word_interval: Duration::from_millis(4_500),
            line_timeout: Duration::from_secs(7),
            retry: Duration::from_millis(200),
            retry_beside_another: Duration::from_secs(1),
        }
    }
}
