//! Listener of partner links.

use super::ControlContext;
use super::links::{ACCEPT_RETRY, LinkOpener};
use smol::Timer;
use smol::net::{TcpListener, TcpStream};
use std::rc::Rc;

/// Connections that may be authenticating at once; further ones are closed.
const HANDSHAKES: usize = 8;

/// Accepts partner links without end.
pub(super) async fn listen(context: ControlContext, opener: LinkOpener, listener: TcpListener) {
    let opener = Rc::new(opener);
    let handshakes = Rc::new(());
    loop {
        match listener.accept().await {
            Ok(_) if Rc::strong_count(&handshakes) > HANDSHAKES => {
                log::warn!("event=link_refused reason=too_many_handshakes");
            }
            Ok((stream, _)) => {
                let handshake = Rc::clone(&handshakes);
                let task = admit(context.clone(), Rc::clone(&opener), stream, handshake);
                context.spawn(task);
            }
            Err(error) => {
                log::warn!("event=link_accept_failed error=\"{error}\"");
                Timer::after(ACCEPT_RETRY).await;
            }
        }
    }
}

async fn admit(
    context: ControlContext,
    opener: Rc<LinkOpener>,
    stream: TcpStream,
    handshake: Rc<()>,
) {
    let admitted = crate::links::accept(stream, &opener.identity()).await;
    drop(handshake);
    match admitted {
        Ok(link) => opener.run(&context, link, false).await,
        Err(error) => log::warn!("event=link_refused {error}"),
    }
}
