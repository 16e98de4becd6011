//! Partner links over loopback: a peer without the key or with a replayed proof is refused, messages
//! of unknown kinds are skipped, and an outbox sends by priority.

use bytes::Bytes;
use coriandertide::decision::leaving::LeavingNotice;
use coriandertide::decision::membership::{MemberRecord, MemberStatus};
use coriandertide::decision::poison::Strike;
use coriandertide::links::handshake::{Challenge, Proof, Side, hmac_sha256};
use coriandertide::links::{
    DecodedMessage, Identity, Link, LinkEnd, Outbox, PartnerMessage, accept, dial,
};
use coriandertide::types::PeerResult;
use smol::net::TcpListener;
use std::fmt::Write;

fn identity(name: &str, key: &str) -> Identity {
    let record = MemberRecord {
        instance: name.into(),
        address: "127.0.0.1:9".parse().unwrap(),
        availability_zone: "couva".into(),
        started_unix_ms: 1,
        version: 0,
        status: MemberStatus::Alive,
        processor_percent: 0,
        peer_address: None,
        is_stopping: false,
    };
    Identity { key: key.into(), record }
}

/// Results of opening a link, one for each end.
struct LinkPair {
    dialer: PeerResult<Link>,
    listener: PeerResult<Link>,
}

/// Opens a link between a dialer and a listener with these partner keys.
fn open(dialer_key: &str, listener_key: &str) -> LinkPair {
    let (dialer, listener) = (identity("a", dialer_key), identity("b", listener_key));
    smol::block_on(async {
        let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = socket.local_addr().unwrap();
        let accepted = async { accept(socket.accept().await.unwrap().0, &listener).await };
        let (dialer, listener) = smol::future::zip(dial(address, &dialer), accepted).await;
        LinkPair { dialer, listener }
    })
}

#[test]
fn peers_with_the_same_key_exchange_member_records() {
    let links = open("the shared key", "the shared key");
    assert_eq!(links.dialer.unwrap().peer().instance, "b");
    assert_eq!(links.listener.unwrap().peer().instance, "a");
}

#[test]
fn peer_with_another_key_is_refused_on_both_sides() {
    let links = open("a wrong key", "the shared key");
    assert!(links.dialer.is_err());
    let error = links.listener.err().unwrap();
    assert!(error.to_string().contains("invalid proof"), "{error}");
}

#[test]
fn proof_is_valid_only_for_its_challenge_side_and_record() {
    let identity = identity("a", "the shared key");
    let challenge = Challenge::new().unwrap();
    let proof = Proof::new(&identity, Side::Dialer, &challenge, 7);
    assert!(proof.verify(&identity.key, Side::Dialer, &challenge).is_ok());
    assert!(proof.verify(&identity.key, Side::Dialer, &Challenge::new().unwrap()).is_err());
    assert!(proof.verify(&identity.key, Side::Listener, &challenge).is_err());
    assert!(
        Proof { nonce: 8, ..proof.clone() }
            .verify("the shared key", Side::Dialer, &challenge)
            .is_err()
    );
    let mut other = proof;
    other.member.version += 1;
    assert!(other.verify(&identity.key, Side::Dialer, &challenge).is_err());
}

#[test]
fn messages_arrive_in_order_unknown_kinds_are_skipped_and_the_link_closes_gracefully() {
    let links = open("the shared key", "the shared key");
    let (to_listener, dialer_queue) = async_channel::bounded(8);
    let (to_dialer, listener_queue) = async_channel::bounded(8);
    let (incoming, received) = async_channel::bounded(8);
    let (ignored, _unread) = async_channel::bounded(8);
    let request = PartnerMessage::ConfigurationRequest { above: 7 };
    to_listener.try_send(Bytes::from_static(b"\xa1\x65novel\x01")).unwrap();
    to_listener.try_send(request.encode()).unwrap();
    to_listener.close();
    let ends = smol::block_on(smol::future::zip(
        links.dialer.unwrap().run(dialer_queue, ignored),
        links.listener.unwrap().run(listener_queue, incoming),
    ));
    drop(to_dialer);
    assert!(matches!(ends, (LinkEnd::Closed, LinkEnd::Closed)), "{ends:?}");
    assert_eq!(received.try_recv().unwrap().message, None);
    assert_eq!(received.try_recv().unwrap().message, Some(request));
}

#[test]
fn malformed_messages_are_rejected() {
    assert!(PartnerMessage::decode(b"\xff").is_err());
    assert!(PartnerMessage::decode(b"\xa1\x67members\x01").is_err());
    let unknown = PartnerMessage::decode(b"\xa1\x65novel\x01").unwrap();
    assert_eq!(unknown, DecodedMessage::UnknownKind);
}

#[test]
fn outbox_sends_by_priority_and_only_the_latest_record_of_a_member() {
    let mut outbox = Outbox::default();
    let member = |version| MemberRecord { version, ..identity("a", "key").record };
    outbox.add_members([member(1)]);
    outbox.add_members([member(2)]);
    let strike = Strike { fingerprint: 1, server: "engine".into(), incarnation: 1 };
    outbox.add_strikes([strike.clone(), strike.clone()]);
    let notice = LeavingNotice { server: "engine".into(), incarnation: 1 };
    outbox.add_leaving([notice.clone()]);
    assert_eq!(outbox.take_next(), Some(PartnerMessage::Leaving(vec![notice])));
    assert_eq!(outbox.take_next(), Some(PartnerMessage::Strikes(vec![strike])));
    assert_eq!(outbox.take_next(), Some(PartnerMessage::Members(vec![member(2)])));
    assert!(outbox.is_empty());
}

#[test]
fn hmac_sha256_matches_rfc_4231() {
    // Test case 2 of RFC 4231.
    let mut text = String::new();
    for byte in hmac_sha256(b"Jefe", b"what do ya want for nothing?") {
        write!(text, "{byte:02x}").unwrap();
    }
    assert_eq!(text, "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}
