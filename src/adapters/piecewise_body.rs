//! Body of a request to a server that is handed over piece by piece: the HTTP library copies what it is
//! given, whatever its size.

use super::caller_memory::take_piece;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Body of known length.
#[derive(Debug)]
pub struct PiecewiseBody {
    unsent: Bytes,
    whole: Full<Bytes>,
}

impl From<Full<Bytes>> for PiecewiseBody {
    fn from(whole: Full<Bytes>) -> Self {
        Self { unsent: Bytes::new(), whole }
    }
}

impl Body for PiecewiseBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.unsent.is_empty()
            && let Poll::Ready(Some(Ok(frame))) = Pin::new(&mut self.whole).poll_frame(cx)
            && let Ok(data) = frame.into_data()
        {
            self.unsent = data;
        }
        if self.unsent.is_empty() {
            return Poll::Ready(None);
        }
        let piece = take_piece(&mut self.unsent);
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.unsent.is_empty() && self.whole.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let unsent_bytes = self.unsent.len() as u64 + self.whole.size_hint().exact().unwrap_or(0);
        SizeHint::with_exact(unsent_bytes)
    }
}
