//! Listener of partner links.

use super::ControlContext;
use super::links::{ACCEPT_RETRY_DELAY, LinkOpener};
use smol::Timer;
use smol::net::{TcpListener, TcpStream};
use std::rc::Rc;

/// Maximum number of handshakes at once; further connections are closed.
const MAX_HANDSHAKES: usize = 8;

/// Accepts partner links, forever.
pub(super) async fn listen(context: ControlContext, opener: LinkOpener, listener: TcpListener) {
    let opener = Rc::new(opener);
    // Each handshake holds a clone, so the strong count minus one is the number of handshakes.
    let handshakes = Rc::new(());
    loop {
        match listener.accept().await {
            Ok(_) if Rc::strong_count(&handshakes) > MAX_HANDSHAKES => {
                log::warn!("event=link_refused reason=too_many_handshakes");
            }
            Ok((stream, _)) => {
                let handshake_guard = Rc::clone(&handshakes);
                let task =
                    accept_link(context.clone(), Rc::clone(&opener), stream, handshake_guard);
                context.spawn(task);
            }
            Err(error) => {
                log::warn!("event=link_accept_failed error=\"{error}\"");
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn accept_link(
    context: ControlContext,
    opener: Rc<LinkOpener>,
    stream: TcpStream,
    handshake_guard: Rc<()>,
) {
    let accepted = crate::links::accept(stream, &opener.identity()).await;
    drop(handshake_guard);
    match accepted {
        Ok(link) => opener.run(&context, link, false).await,
        Err(error) => log::warn!("event=link_refused {error}"),
    }
}
