use super::*;
use crate::end::End;
use crate::exchange::Load;
use futures_util::future::LocalBoxFuture;
use std::time::Duration;

struct Nothing;

impl Way for Nothing {
    fn forward(&self, _: Rc<Load>, _: Duration) -> LocalBoxFuture<'static, End> {
        Box::pin(async { End::Nowhere })
    }
}

#[test]
fn places_of_gone_nodes_are_used_again_once_there_are_many() {
    let mut nodes = Nodes::default();
    let reach = || -> Option<Rc<dyn Way>> { Some(Rc::new(Nothing)) };
    for i in 0..MOST {
        let place = nodes.index(&i.to_string());
        nodes.set(place, reach());
    }
    nodes.set(7, None);
    assert_eq!(
        (nodes.index("new"), nodes.known("7"), nodes.known("8")),
        (7, None, Some(8))
    );
    nodes.set(7, reach());
    assert_eq!(
        nodes.index("newer"),
        MOST,
        "none is gone: it grows rather than mix two nodes up"
    );
}
