//! The instances of this process: events in, calls on the decisions, actions out.

use crate::decode::Words;
use crate::peers::{self, Codes};
use magpieline::interface::*;
use magpieline::names::{Door, Message, Told};
use magpieline::Balancer;
use serde_json::Value as Json;
use std::collections::HashMap;
use std::fmt::Write;

/// An alarm's token: 0 for the regular review, else a hit's place and turn.
fn token(handle: HitHandle) -> u64 {
    ((u64::from(handle.turn) & 0x7fff_ffff) << 32 | u64::from(handle.place)) + 1
}

fn micros(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1e6).round() as u64
}

/// One instance: its decisions, and what stands for its words.
struct Instance {
    balancer: Balancer,
    nodes: Door,
    codes: Codes,
    /// Messages of other agents that could not be read.
    unread: u64,
    keys: Door,
    zones: Door,
    groups: Door,
    accounts: Door,
    /// Hits not yet over, by their ids.
    hits: HashMap<u64, HitHandle>,
    /// The ids of hits that wait, by the tokens of their alarms.
    waiting: HashMap<u64, u64>,
}

/// Where replies are written for one instance.
struct Out<'a> {
    who: u64,
    reply: &'a mut String,
}

impl Out<'_> {
    fn act(&mut self, name: &str, fields: std::fmt::Arguments) {
        if !self.reply.ends_with('[') {
            self.reply.push(',');
        }
        // Writing to a string cannot fail.
        let _ = write!(
            self.reply,
            "{{\"t\":\"{name}\",\"who\":{}{fields}}}",
            self.who
        );
    }
}

impl Instance {
    fn spawn(message: &Message, now: f64) -> Result<Instance, String> {
        let info = message.needed("info", "an object of settings")?;
        let Told {
            named,
            groups,
            accounts,
            zones,
            zone,
        } = Told::read(info)?;
        let balancer = Balancer::start(message.whole("entropy")?, now, zone, named)
            .map_err(|e| format!("{}: info: {e}", message.name))?;
        let (nodes, codes, unread, keys, hits, waiting) = Default::default();
        Ok(Instance {
            balancer,
            nodes,
            codes,
            unread,
            keys,
            zones,
            groups,
            accounts,
            hits,
            waiting,
        })
    }

    /// Carries out what the decisions said of a hit.
    fn carry_out(&mut self, id: u64, handle: HitHandle, next: Next, out: &mut Out) {
        match next {
            Next::Forward { node, limit } => out.act(
                "Try",
                format_args!(
                    ",\"corr\":{id},\"appliance\":{},\"limit_us\":{}",
                    Json::from(self.nodes.word(node)),
                    micros(limit).max(1)
                ),
            ),
            Next::Wait { pause } => {
                self.waiting.insert(token(handle), id);
                let pause = micros(pause);
                out.act(
                    "SetAlarm",
                    format_args!(",\"token\":{},\"offset_us\":{pause}", token(handle)),
                );
            }
            Next::Bounce { again_after } => {
                out.act(
                    "Reject",
                    format_args!(",\"corr\":{id},\"wait_us\":{}", micros(again_after)),
                );
            }
            Next::GiveUp => out.act("Surrender", format_args!(",\"corr\":{id}")),
            Next::Nothing => {}
        }
        if !handle.pending(&self.balancer) {
            self.hits.remove(&id);
        }
    }

    fn review(&mut self, now: f64, out: &mut Out) {
        let review = self.balancer.review(now);
        if review.follow {
            out.act("Tail", format_args!(",\"active\":true"));
        }
        if let Some(vote) = review.vote {
            if vote.verdict == Verdict::Back {
                let words = Json::from(self.balancer.against());
                out.act("Print", format_args!(",\"words\":{words}"));
            }
            let how = match vote.verdict {
                Verdict::Clear => 0,
                Verdict::On => 1,
                Verdict::Hold => 2,
                Verdict::Back => 3,
            };
            out.act(
                "Ballot",
                format_args!(
                    ",\"how\":{how},\"image\":{},\"wave\":{}",
                    vote.build, vote.stage
                ),
            );
        }
        for (whom, tidings) in self.balancer.tidings() {
            let whom = whom.map_or(-1, |w| w as i64);
            for contents in peers::write(&tidings, |node| self.nodes.word(node).to_owned()) {
                let contents = Json::from(contents);
                out.act(
                    "Notify",
                    format_args!(",\"whom\":{whom},\"contents\":{contents}"),
                );
            }
        }
        out.act(
            "SetAlarm",
            format_args!(",\"token\":0,\"offset_us\":{}", micros(review.again_in)),
        );
    }

    fn group(&self, message: &Message) -> Result<usize, String> {
        let name = message.text("class")?;
        let unknown = || {
            format!(
                "{}: class: expected one of the settings, not '{name}'",
                message.name
            )
        };
        self.groups.known(name).ok_or_else(unknown)
    }

    fn new_hit(&mut self, message: &Message, now: f64, out: &mut Out) -> Result<(), String> {
        let id = message.whole("corr")?;
        let account = message.text_or_none("account").ok().flatten();
        let arrival = Arrival {
            group: self.group(message)?,
            key: message
                .text_or_none("path_key")?
                .map(|k| self.keys.index(k)),
            account: account
                .and_then(|a| self.accounts.known(a))
                .unwrap_or(usize::MAX),
            remaining: message.seconds("remaining_us")?,
            hint: message.seconds_or_0("work_hint_us")?,
            ..Arrival::default()
        };
        let (handle, next) = self.balancer.take(now, arrival);
        self.hits.insert(id, handle);
        self.carry_out(id, handle, next, out);
        Ok(())
    }

    fn returned(&mut self, message: &Message, now: f64, out: &mut Out) -> Result<(), String> {
        let id = message.whole("corr")?;
        let (ending, spent) = (message.ending()?, message.seconds("spent_us")?);
        let end = Return {
            ending,
            spent,
            over: message.mark("done_flag")?,
        };
        if let Some(handle) = self.hits.get(&id).copied() {
            let next = handle.returned(&mut self.balancer, now, end);
            self.carry_out(id, handle, next, out);
        }
        Ok(())
    }

    fn listed(
        &mut self,
        message: &Message,
        now: f64,
        lists: &HashMap<u64, Json>,
    ) -> Result<(), String> {
        let (whole, fresh) = match message.text("mode")? {
            "failed" => {
                self.balancer.list_failed(now);
                return Ok(());
            }
            "full" => (true, true),
            "cached" => (true, false),
            "delta" => (false, true),
            _ => {
                return Err(format!(
                    "{}: mode: expected delta, full, cached or failed",
                    message.name
                ))
            }
        };
        let list = lists.get(&message.whole("buffer")?);
        let list =
            list.ok_or_else(|| format!("{}: buffer: expected the number of a list", message.name))?;
        let mut lines = Vec::new();
        let list = Message {
            name: "Inventory",
            body: list,
        };
        for body in list.list("hosts")? {
            let entry = Message {
                name: "Inventory: hosts",
                body,
            };
            let word = entry.text("appliance")?;
            let node = self.nodes.index(word);
            self.codes.learn(word, node);
            lines.push(Listed {
                node,
                open: entry.text("availability")? == "live",
                build: entry.whole("build")? as u32,
                zone: self
                    .zones
                    .index(entry.text_or_none("campus")?.unwrap_or("")),
                cell: entry.number_or("cell", 0.0)? as i64,
                rating: entry.number_or("rating", 1.0)?,
                up_since: entry.seconds_or_0("up_since_us")?,
                speaks: 0,
            });
        }
        self.balancer.listed(now, whole, fresh, &lines);
        Ok(())
    }

    fn news(&mut self, message: &Message, now: f64) -> Result<(), String> {
        let receipt = message.receipt()?;
        if message.number_or("how", 0.0)? == 1.0 {
            self.balancer.vote_received(now, receipt);
        }
        if receipt == Receipt::Counted {
            let news = News {
                build: message.whole("image")? as u32,
                stage: message.whole("wave")? as usize,
                phase: message.phase()?,
                since: message.seconds_or_0("behind_us")?,
                cap: message.number_or("most_share", 0.0)?,
            };
            self.balancer.heard(now, news);
        }
        Ok(())
    }

    fn event(&mut self, message: &Message, now: f64, out: &mut Out) -> Result<(), String> {
        match message.name {
            "NewRequest" => self.new_hit(message, now, out)?,
            "Returned" => self.returned(message, now, out)?,
            "Dropped" => {
                let id = message.whole("corr")?;
                if let Some(handle) = self.hits.get(&id).copied() {
                    handle.left(&mut self.balancer, now);
                    self.carry_out(id, handle, Next::Nothing, out);
                }
            }
            "Bell" => match message.whole("token")? {
                0 => self.review(now, out),
                token => {
                    if let Some((id, handle)) = self
                        .waiting
                        .remove(&token)
                        .and_then(|id| Some((id, *self.hits.get(&id)?)))
                    {
                        let next = handle.resume(&mut self.balancer, now);
                        self.carry_out(id, handle, next, out);
                    }
                }
            },
            "Promotion" => self.news(message, now)?,
            "Objection" => {
                self.group(message)?;
                if let Some(node) = self.nodes.known(message.text("appliance")?) {
                    self.balancer.complained(now, node);
                }
            }
            "NeighbourSays" => {
                let (from, contents) = (message.whole("from")? as usize, message.text("contents")?);
                match peers::parse(contents, &self.codes) {
                    Some(tidings) => self.balancer.told(now, from, &tidings),
                    None => self.unread += 1,
                }
            }
            "Digest" => {
                self.group(message)?;
                let build = message.whole("image")? as u32;
                let forwards = message.number_or("many", 0.0)? as u32;
                let failed = message.number_or("not_ok", 0.0)? as u32;
                self.balancer.tallied(
                    now,
                    Tally {
                        build,
                        forwards,
                        failed,
                    },
                );
            }
            // Streams and checks are not asked for.
            "Headers" | "Sampled" => {}
            other => return Err(format!("{other}: expected a message of the wire")),
        }
        Ok(())
    }
}

/// All instances of this process and the lists they share by number.
#[derive(Default)]
pub struct Process {
    instances: HashMap<u64, Instance>,
    lists: HashMap<u64, Json>,
}

impl Process {
    /// Answers one batch.
    pub fn answer(&mut self, line: &str, reply: &mut String) -> Result<(), String> {
        let batch: Json =
            serde_json::from_str(line).map_err(|e| format!("batch: expected JSON: {e}"))?;
        let batch = Message {
            name: "batch",
            body: &batch,
        };
        let now = batch.seconds("now_us")?;
        reply.push_str("{\"out\":[");
        for body in batch.list("items")? {
            let message = Message {
                name: Message { name: "item", body }.text("t")?,
                body,
            };
            if message.name == "Inventory" {
                message.list("hosts")?;
                self.lists.insert(message.whole("buffer")?, body.clone());
                continue;
            }
            let who = message.whole("who")?;
            let mut out = Out { who, reply };
            match message.name {
                "Spawn" => {
                    let mut instance = Instance::spawn(&message, now)?;
                    instance.review(now, &mut out);
                    self.instances.insert(who, instance);
                }
                "Kill" => {
                    self.instances.remove(&who);
                }
                name => match self.instances.get_mut(&who) {
                    Some(instance) if name == "Fleet" => {
                        instance.listed(&message, now, &self.lists)?
                    }
                    Some(instance) => instance.event(&message, now, &mut out)?,
                    None => {
                        return Err(format!(
                            "{name}: who: expected an instance that was started, not {who}"
                        ))
                    }
                },
            }
        }
        reply.push_str("]}\n");
        Ok(())
    }
}

#[cfg(test)]
mod tests;
