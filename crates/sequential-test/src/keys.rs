//! Many hits of one key are not many witnesses. A key speaks once in a block, a few times in a stage, and is heard
//! no more, on either side, once it has erred: which of its outcomes count is settled before they are known.

/// How often one key speaks in a stage: enough that some hundred keys carry a verdict, too few for one to.
const SPEAKS: u8 = 8;

#[derive(Clone, Copy, Default)]
struct Heard {
    block: u32,
    stage: u16,
    times: u8,
    erred: bool,
}

/// What has been heard of each key. One place for each index that the front gives out; the front bounds those.
#[derive(Default)]
pub struct Keys {
    heard: Vec<Heard>,
}

impl Keys {
    /// Whether an outcome of this key counts now; if so that is noted.
    pub fn admit(&mut self, key: usize, block: u32, stage: u16) -> bool {
        if key >= self.heard.len() {
            self.heard.resize(key + 1, Heard::default());
        }
        let heard = &mut self.heard[key];
        if heard.stage != stage {
            (heard.stage, heard.times) = (stage, 0);
        }
        let counts = !heard.erred && heard.block != block && heard.times < SPEAKS;
        if counts {
            (heard.block, heard.times) = (block, heard.times + 1);
        }
        counts
    }

    /// It has erred, at either build.
    pub fn erred(&mut self, key: usize) {
        if let Some(heard) = self.heard.get_mut(key) {
            heard.erred = true;
        }
    }
}
