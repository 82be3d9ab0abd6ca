//! Reads the words of the bench's wire.

use magpieline::interface::{Ending, Phase, Receipt};
use magpieline::names::Message;

/// The wire's words in a message.
pub trait Words {
    fn ending(&self) -> Result<Ending, String>;
    fn receipt(&self) -> Result<Receipt, String>;
    fn phase(&self) -> Result<Phase, String>;
}

impl Words for Message<'_> {
    fn ending(&self) -> Result<Ending, String> {
        Ok(match self.text("result")? {
            "served" => Ending::Delivered,
            "server_error" => Ending::Errored,
            "turned_away" => Ending::TurnedAway,
            "no_answer" => Ending::NoAnswer,
            "no_connection" => Ending::NoConnection,
            "connection_lost" => Ending::Broken,
            "called_off" => Ending::CalledOff,
            "not_sent" => Ending::NeverSent,
            _ => return Err(self.wrong("result", "a completion code")),
        })
    }

    fn receipt(&self) -> Result<Receipt, String> {
        Ok(match self.text_or_none("result")?.unwrap_or("served") {
            "served" => Receipt::Counted,
            "not_sent" => Receipt::Moot,
            "turned_away" | "server_error" => Receipt::Refused,
            "no_answer" => Receipt::Unknown,
            _ => return Err(self.wrong("result", "a receipt of a vote")),
        })
    }

    fn phase(&self) -> Result<Phase, String> {
        Ok(match self.whole("phase")? {
            0 => Phase::Trial,
            1 => Phase::GoingBack,
            2 => Phase::Released,
            3 => Phase::Withdrawn,
            _ => return Err(self.wrong("phase", "0 to 3")),
        })
    }
}
