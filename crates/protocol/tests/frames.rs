//! Frames survive being cut anywhere, and unsound ones end the connection.

use crankpick_protocol::{
    encode, Caller, FrameReader, GatewayIdentity, Handshake, ProtocolError, MAX_FRAME_BYTES,
};
use tokio::io::{AsyncWriteExt, DuplexStream};

fn hello(node: &str) -> Handshake {
    Handshake::new(Caller::Gateway(GatewayIdentity { node: node.into(), incarnation: 7, zone: "a".into() }))
}

async fn written(bytes: Vec<u8>, piece: usize) -> FrameReader<DuplexStream> {
    let (mut ours, theirs) = tokio::io::duplex(64);
    tokio::spawn(async move {
        for part in bytes.chunks(piece) {
            ours.write_all(part).await.unwrap();
        }
    });
    FrameReader::new(theirs)
}

#[tokio::test]
async fn messages_come_whole_however_they_are_cut() {
    for piece in 1..40 {
        let mut bytes = encode(&hello("first")).unwrap().to_vec();
        bytes.extend_from_slice(&encode(&hello("second")).unwrap());
        let mut reader = written(bytes, piece).await;
        assert_eq!(reader.next::<Handshake>().await.unwrap(), Some(hello("first")));
        assert_eq!(reader.next::<Handshake>().await.unwrap(), Some(hello("second")));
        assert_eq!(reader.next::<Handshake>().await.unwrap(), None);
    }
}

#[tokio::test]
async fn a_connection_that_ends_inside_a_frame_is_an_error() {
    let frame = encode(&hello("first")).unwrap();
    let mut reader = written(frame[..frame.len() - 1].to_vec(), 9).await;
    assert!(matches!(reader.next::<Handshake>().await, Err(ProtocolError::Io { .. })));
}

#[tokio::test]
async fn a_frame_over_the_bound_is_refused_before_it_is_read() {
    let mut reader = written(((MAX_FRAME_BYTES + 1) as u32).to_be_bytes().to_vec(), 4).await;
    assert!(matches!(reader.next::<Handshake>().await, Err(ProtocolError::FrameTooLong { .. })));
}

#[tokio::test]
async fn what_is_no_message_is_refused() {
    let mut bytes = 3u32.to_be_bytes().to_vec();
    bytes.extend_from_slice(&[0xc1, 0xc1, 0xc1]);
    let mut reader = written(bytes, 4).await;
    assert!(matches!(reader.next::<Handshake>().await, Err(ProtocolError::Malformed { .. })));
}

/// The callers as builds knew them that keep no departures of backends.
#[derive(Debug, serde::Deserialize)]
#[allow(dead_code, reason = "only decoding matters")]
enum EarlierCaller {
    Peer { address: std::net::SocketAddr },
    Gateway(GatewayIdentity),
    Observer,
}

#[derive(Debug, serde::Deserialize)]
#[allow(dead_code, reason = "only decoding matters")]
struct EarlierHandshake {
    version: u16,
    caller: EarlierCaller,
}

/// An earlier build closes that connection alone: messages that it knows come on others.
#[tokio::test]
async fn reader_of_departures_is_refused_by_earlier_builds() {
    let reader = Handshake::new(Caller::DepartureReader { address: "10.1.2.3:7500".parse().unwrap() });
    let mut frames = written(encode(&reader).unwrap().to_vec(), 9).await;
    let error = frames.next::<EarlierHandshake>().await.unwrap_err();
    assert_eq!(error.code(), "PRO-103");
}
