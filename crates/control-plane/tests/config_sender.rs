//! What a counter is told of editions, step by step.

use magpieline_control_plane::config_receiver::{Intake, Taken};
use magpieline_control_plane::config_sender::{Action, Event, Feeds};
use magpieline_control_plane::messages::{unframe, Down, Fenced, Piece};
use magpieline_control_plane::state_machine::Kept;

/// An edition of some 30 KB squeezed, so that it takes more than a window; each differs from the one before a little.
fn edition(number: u64) -> Kept {
    let mut random = 1u64;
    let line = |_| {
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        format!("{random:x}\n")
    };
    let text: String = (0..4000).map(line).collect();
    Kept {
        number,
        text: format!("{number}\n{text}").into(),
    }
}

/// The pieces that are sent by a step, and whether the counter counts as up to date.
fn pieces(feeds: &mut Feeds, event: Event) -> (Vec<Piece>, bool) {
    let (mut pieces, mut current) = (Vec::new(), false);
    for action in feeds.step(0, event) {
        match action {
            Action::Send { frame, .. } => match unframe::<Fenced<Down>>(&mut frame.to_vec()) {
                Ok(Some(Fenced {
                    word: Down::Piece(piece),
                    ..
                })) => pieces.push(piece),
                other => panic!("{other:?}"),
            },
            Action::Current { .. } => current = true,
            Action::InForce { .. } => {}
        }
    }
    (pieces, current)
}

/// Gets all pieces of what is on its way, acknowledging each.
fn all(feeds: &mut Feeds, mut sent: Vec<Piece>) -> Vec<Piece> {
    let mut got = Vec::new();
    while !sent.is_empty() {
        let piece = sent.remove(0);
        let (number, upto) = (piece.number, piece.at + piece.bytes.len() as u32);
        got.push(piece);
        sent.extend(
            pieces(
                feeds,
                Event::Got {
                    link: 1,
                    number,
                    upto,
                },
            )
            .0,
        );
    }
    got
}

/// Guards against editions that queue up behind each other, against wholes where a change would do, and against a counter
/// that is welcomed before it has what was agreed on before it came.
#[test]
fn one_edition_is_on_its_way_and_the_next_is_told_from_what_is_held() {
    let mut feeds = Feeds::default();
    assert_eq!(feeds.step(0, Event::Edition(edition(3))), []);
    let (sent, current) = pieces(&mut feeds, Event::Opened { link: 1, held: 0 });
    assert!(sent.len() > 1 && sent.len() <= 3 && !current);
    for number in 4..8 {
        assert_eq!(
            feeds.step(0, Event::Edition(edition(number))),
            [],
            "nothing beside what is on its way"
        );
    }
    let whole = all(&mut feeds, sent);
    assert!(whole.iter().all(|p| (p.number, p.from) == (3, 0)));
    let (next, current) = pieces(
        &mut feeds,
        Event::Holds {
            link: 1,
            edition: 3,
        },
    );
    assert!(current, "it has what was newest when it came");
    assert_eq!(
        next.iter().map(|p| (p.number, p.from)).collect::<Vec<_>>(),
        [(7, 3)]
    );
    assert!(
        next[0].length < 200,
        "{} bytes for a change of one line",
        next[0].length
    );
    let mut intake = Intake::default();
    assert_eq!(
        intake.take(Some(&edition(3)), &next[0]),
        Taken::Whole(edition(7))
    );
    assert_eq!(
        pieces(
            &mut feeds,
            Event::Holds {
                link: 1,
                edition: 7
            }
        ),
        (vec![], false)
    );
    assert_eq!((feeds.flying(), feeds.behind()), (0, 0));
}

/// Guards against a counter that is told again and again what it can't take in, or is never told the whole.
#[test]
fn what_does_not_fit_is_told_whole_and_what_is_refused_is_not_told_again() {
    let mut feeds = Feeds::default();
    feeds.step(0, Event::Edition(edition(3)));
    feeds.step(0, Event::Edition(edition(4)));
    let (sent, _) = pieces(&mut feeds, Event::Opened { link: 1, held: 3 });
    assert_eq!((sent.len(), sent[0].from), (1, 3));
    let (sent, _) = pieces(
        &mut feeds,
        Event::Holds {
            link: 1,
            edition: 0,
        },
    );
    assert_eq!((sent[0].number, sent[0].from), (4, 0));
    all(&mut feeds, sent);
    assert_eq!(
        pieces(
            &mut feeds,
            Event::Holds {
                link: 1,
                edition: 3
            }
        ),
        (vec![], true),
        "it stays with 3"
    );
    let (sent, _) = pieces(&mut feeds, Event::Edition(edition(5)));
    assert_eq!((sent[0].number, sent[0].from), (5, 3));
}

/// Guards against a counter that goes back, or puts together parts of different editions.
#[test]
fn pieces_that_do_not_follow_make_nothing() {
    let mut feeds = Feeds::default();
    feeds.step(0, Event::Edition(edition(3)));
    let (sent, _) = pieces(&mut feeds, Event::Opened { link: 1, held: 0 });
    let sent = all(&mut feeds, sent);
    let mut intake = Intake::default();
    assert_eq!(intake.take(Some(&edition(3)), &sent[0]), Taken::Stale);
    assert_eq!(intake.take(Some(&edition(9)), &sent[0]), Taken::Stale);
    assert_eq!(intake.take(None, &sent[1]), Taken::Unfit, "no beginning");
    assert_eq!(intake.take(None, &sent[0]), Taken::More(sent[1].at));
    assert_eq!(
        intake.take(
            None,
            &Piece {
                number: 4,
                ..sent[1].clone()
            }
        ),
        Taken::Unfit
    );
    assert_eq!(intake.take(None, &sent[1]), Taken::Unfit, "it begins anew");
    let last = sent.len() - 1;
    for (i, piece) in sent.iter().enumerate() {
        let taken = intake.take(Some(&edition(1)), piece);
        let expected = if i == last {
            Taken::Whole(edition(3))
        } else {
            Taken::More(sent[i + 1].at)
        };
        assert_eq!(taken, expected);
    }
}
