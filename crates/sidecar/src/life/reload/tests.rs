use super::*;
use crate::testing::*;
use crate::wire::nodes::Head;
use crate::wire::{list, platform};
use magpieline::interface::Arrival;
use magpieline_dispatch::{Answer, Load};

/// Discovery, or a platform, that answers its first call and then keeps silent; which turn was asked.
async fn silent(answer: String) -> (String, Rc<std::cell::Cell<usize>>) {
    let (address, made) = counted(move |mut stream| {
        let answer = answer.clone();
        async move {
            message(&mut stream).await;
            write(&mut stream, &answer).await;
            std::future::pending::<()>().await
        }
    })
    .await;
    (address.to_string(), made)
}

/// With a watch and a stream open and silent at the old addresses, the new ones are asked within moments,
/// whatever the environment says; a file that is wrong changes nothing and is looked at again.
#[test]
fn new_addresses_hold_at_once_and_a_wrong_file_is_read_again() {
    run(async {
        let list = r#"{"rev":7,"all":true,"targets":[]}"#;
        let list = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{list}",
            list.len()
        );
        let stream = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_owned();
        let (old_list, new_list) = (silent(list.clone()).await, silent(list).await);
        let (old_news, new_news) = (silent(stream.clone()).await, silent(stream).await);
        let exchange = exchange();
        let around = around();
        around.discovery.set(&old_list.0);
        around.platform.set(&old_news.0);
        actix_rt::spawn(list::follow(exchange.clone(), around.clone()));
        actix_rt::spawn(platform::follow(exchange.clone(), around.clone()));
        actix_rt::time::sleep(PAUSE).await;
        assert_eq!((old_list.1.get(), old_news.1.get()), (1, 1));

        let path =
            std::env::temp_dir().join(format!("magpieline-reload-{}.json", std::process::id()));
        std::fs::write(&path, "{").expect("a file");
        let told = take(&exchange, &around, &path).expect_err("a complaint");
        assert!(told.contains("expected JSON"), "{told}");
        let signal = signals().expect("a signal");
        actix_rt::spawn(follow(
            exchange.clone(),
            around.clone(),
            path.clone(),
            None,
            signal,
        ));
        let id = std::process::id().to_string();
        let sent = std::process::Command::new("kill")
            .args(["-HUP", &id])
            .status();
        assert!(sent.is_ok_and(|s| s.success()));
        actix_rt::time::sleep(PAUSE / 2).await;
        let body = start::tests::body_at(&new_list.0, &new_news.0);
        std::fs::write(&path, body.to_string()).expect("a file");
        actix_rt::time::sleep(3 * PAUSE).await;
        assert_eq!((new_list.1.get(), new_news.1.get()), (1, 1));
        assert_eq!((old_list.1.get(), old_news.1.get()), (1, 1));
        std::fs::remove_file(&path).expect("removed");
    });
}
/// Guards the switch: hits are in hand whenever settings change, there and back. Mutating ones, as a second
/// forward of one of those shows at once; the stand-in counts what comes, and answers late.
#[test]
fn settings_change_under_load_both_ways_and_every_hit_has_one_answer() {
    run_within(20, async {
        let seen = Rc::new(std::cell::RefCell::new(std::collections::BTreeMap::<
            String,
            u32,
        >::new()));
        let count = seen.clone();
        let node = server(move |mut stream| {
            let count = count.clone();
            async move {
                loop {
                    let text = message(&mut stream).await;
                    let Some(path) = text.split(' ').nth(1) else {
                        break;
                    };
                    *count.borrow_mut().entry(path.to_owned()).or_default() += 1;
                    actix_rt::time::sleep(PAUSE).await;
                    write(
                        &mut stream,
                        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
                    )
                    .await;
                }
            }
        })
        .await;
        let (exchange, around) = (exchange_of(&[node]), around());
        let before: serde_json::Value = serde_json::from_str(SETTINGS).expect("settings");
        let mut after = before.clone();
        after["limits"] =
            serde_json::json!({"max_attempts": 7, "peers": true, "conn_idle_us": 9000000});
        after["obligations"] = serde_json::json!({"cold_us": 4900000, "fall_multiple": 2.0});
        after["classes"][0]["goal_time_us"] = 400000.into();
        let mut odd = after.clone();
        odd["classes"][1]["name"] = "sell".into();
        let mut wild = after.clone();
        wild["obligations"]["fall_multiple"] = "twice".into();

        let path = folder("switch").join("configuration.json");
        let put = |settings: &serde_json::Value| {
            let mut body = start::tests::body_at("127.0.0.1:1", "127.0.0.1:1");
            body["settings"] = settings.clone();
            std::fs::write(&path, body.to_string()).expect("a file");
            take(&exchange, &around, &path)
        };
        let mut tickets = Vec::new();
        for i in 0..100 {
            let mut headers = awc::http::header::HeaderMap::new();
            let id = awc::http::header::HeaderValue::from(i);
            headers.insert(
                awc::http::header::HeaderName::from_static(crate::wire::headers::TXN),
                id,
            );
            let arrival = Arrival {
                group: 1,
                remaining: 2.0,
                ..Arrival::default()
            };
            let target = format!("/pay/{i}").parse().expect("a target");
            let head = Head {
                method: awc::http::Method::POST,
                target,
                headers,
            };
            let load = Load {
                id: i,
                head: Box::new(head),
                body: Default::default(),
            };
            tickets.push(exchange.take(arrival, load).expect("a hit"));
            match i {
                20 | 60 => assert_eq!(put(&after), Ok(())),
                40 | 80 => assert_eq!(put(&before), Ok(())),
                50 => {
                    let told = put(&odd).expect_err("other path groups");
                    assert!(told
                        .ends_with("classes.1.name: found 'sell', expected 'pay' as at the start"));
                    let told = put(&wild).expect_err("a word for a number");
                    assert!(
                        told.contains("fall_multiple: found 'twice', expected a number from"),
                        "{told}"
                    );
                    assert_eq!(
                        exchange.take_settings(&before),
                        Ok(false),
                        "what held goes on"
                    );
                }
                _ => {}
            }
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
        for ticket in &mut tickets {
            assert!(matches!(ticket.answer().await, Answer::Delivered { .. }));
        }
        assert_eq!(seen.borrow().len(), 100);
        assert!(
            seen.borrow().values().all(|n| *n == 1),
            "none is sent twice"
        );
    });
}
