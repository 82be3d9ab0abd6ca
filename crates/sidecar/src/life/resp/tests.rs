use super::*;
use crate::testing::*;
use crate::wire::clients;
use magpieline_operator_config::Schema;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

const FILE: &str = "<magpieline><resp listen='127.0.0.1:0'>
        <command name='GET' group='read' key='1' timeout-ms='1500'/></resp></magpieline>";

/// Both fronts at once, nodes of both protocols, few descriptors: each hit is answered in its own protocol and
/// reaches only nodes that speak it.
#[test]
fn both_fronts_share_one_exchange_and_its_places() {
    run_within(20, async {
        let http = answering("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody").await;
        let resp = server(|mut stream| async move {
            let mut buffer = [0; 4096];
            while let Ok(n) = stream.read(&mut buffer).await {
                let text = String::from_utf8_lossy(&buffer[..n]).into_owned();
                assert!(!text.contains("HTTP"), "{text}");
                let replies = "-ERR unknown\r\n".repeat(text.matches("HELLO").count())
                    + &"$2\r\nok\r\n".repeat(text.matches("GET").count());
                if n == 0 {
                    return;
                }
                write(&mut stream, &replies).await;
            }
        })
        .await;
        let exchange = exchange();
        exchange.listed(
            true,
            true,
            vec![
                entry(http, 0),
                entry(resp, magpieline_resp_listener::SPEAKS),
            ],
        );
        let crowd = Rc::new(Crowd::new(256));
        let values = Schema::bundled().check(FILE).expect("a good file");
        let (_, front) = front(&values, &exchange, &crowd)
            .expect("a front")
            .expect("one that is asked for");
        let bound = || async { TcpListener::bind("127.0.0.1:0").await.expect("a listener") };
        let (a, b) = (bound().await, bound().await);
        let (at_http, at_resp) = (a.local_addr().expect("one"), b.local_addr().expect("one"));
        actix_rt::spawn(clients::serve(exchange.clone(), Rc::new(a), crowd.clone()));
        actix_rt::spawn(magpieline_resp_listener::serve(front, b));
        let mut all = Vec::new();
        for i in 0..60 {
            all.push(actix_rt::spawn(async move {
                    let at = if i % 2 == 0 { at_http } else { at_resp };
                    let mut stream = TcpStream::connect(at).await.expect("connected");
                    let (text, reply) = if i % 2 == 0 {
                        (
                            format!(
                                "GET /read HTTP/1.1\r\nhost: a\r\nx-txn: {i}\r\nx-remaining-ms: 1500\r\n\r\n"
                            ),
                            "body",
                        )
                    } else {
                        (format!("GET k{i}\r\n"), "$2\r\nok\r\n")
                    };
                    write(&mut stream, &text).await;
                    let mut answer = String::new();
                    while !answer.ends_with(reply) {
                        let mut buffer = [0; 512];
                        let n = stream.read(&mut buffer).await.expect("read");
                        assert!(n > 0, "{answer}");
                        answer += &String::from_utf8_lossy(&buffer[..n]);
                    }
                }));
        }
        for each in all {
            each.await.expect("answered in its own protocol");
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        assert!(exchange.idle());
    });
}

#[test]
fn what_cannot_be_is_refused_at_the_start() {
    run(async {
        let (exchange, crowd) = (exchange(), Rc::new(Crowd::new(100)));
        let told = |file: &str| {
            let values = Schema::bundled().check(file).expect("good by the schema");
            front(&values, &exchange, &crowd).err().unwrap_or_default()
        };
        assert!(front(&Values::new(), &exchange, &crowd)
            .expect("nothing asked for")
            .is_none());
        let odd = "<magpieline><resp listen='here'/></magpieline>";
        assert_eq!(
            told(odd),
            "resp/@listen: found 'here', expected an address and a port"
        );
        assert!(told(&FILE.replace("'read'", "'odd'")).contains("group: found 'odd'"));
        let file = FILE.replace("<resp", "<resp password-file='/nowhere/at/all'");
        assert!(told(&file).starts_with("resp/@password-file: /nowhere/at/all: could not be read"));
    });
}
