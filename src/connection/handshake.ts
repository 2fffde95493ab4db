import type { Socket } from 'node:net';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { defaults } from '../defaults.js';
import type { Message } from '../protocol/messages.js';
import { encodeFrame, FrameReader } from './frameCodec.js';
import type { Hello, PeerLinkOptions } from './peerLink.js';
import { PeerLink } from './peerLink.js';

/** A hello is far smaller; a larger first frame is not from a peer. */
const MAX_HELLO_BYTES = 64 * 1024;

export interface HandshakeError {
  readonly code:
    'hello_timeout' | 'closed' | 'version_mismatch' | 'protocol_error' | 'invalid_address';
  readonly message: string;
}

/**
 * Exchanges hello messages on a new connection; both sides send theirs without waiting for the other.
 *
 * @param socket - Connected socket, plain or TLS
 * @param self - Hello of the local process
 * @param options - Link options and message handlers
 * @returns The link, or why the handshake failed; the socket is then destroyed
 */
export async function performHandshake(
  socket: Socket,
  self: Hello,
  options: PeerLinkOptions,
): Promise<Result<PeerLink, HandshakeError>> {
  // Read before the write, which wakes the peer: its next messages may be waiting when a pause of this process ends.
  const startedAt = Date.now();
  socket.write(encodeFrame(self));
  const maxFrameBytes = options.maxFrameBytes ?? defaults.maxFrameBytes;
  const reader = new FrameReader(maxFrameBytes, Math.min(maxFrameBytes, MAX_HELLO_BYTES));
  const first = await readFirstMessages(socket, reader);
  if (first.isErr()) {
    socket.destroy();
    return first;
  }
  const [peer, ...rest] = first.value;
  if (peer?.type !== 'hello') {
    socket.destroy();
    return Err({ code: 'protocol_error', message: 'first message of the peer is not a hello' });
  }
  if (peer.version !== self.version) {
    socket.destroy();
    const message = `peer uses protocol version ${peer.version}, expected ${self.version}`;
    return Err({ code: 'version_mismatch', message });
  }
  const link = new PeerLink(socket, peer, reader, options, startedAt);
  // Deferred, so that the caller can register the link before messages arrive.
  setImmediate(() => {
    link.dispatchAll(rest);
  });
  return Ok(link);
}

function readFirstMessages(
  socket: Socket,
  reader: FrameReader,
): Promise<Result<Message[], HandshakeError>> {
  return new Promise((resolve) => {
    const finish = (result: Result<Message[], HandshakeError>): void => {
      clearTimeout(timer);
      socket.off('data', onData);
      socket.off('close', onClose);
      socket.off('error', onError);
      resolve(result);
    };
    const onData = (data: Buffer): void => {
      const read = reader.readMessages(data);
      if (read.isErr()) {
        finish(Err({ code: 'protocol_error', message: read.error.message }));
      } else if (read.value.length > 0) {
        socket.pause();
        finish(Ok(read.value));
        // The link has attached its data listener by the next event loop turn.
        setImmediate(() => socket.resume());
      }
    };
    const onClose = (): void => {
      finish(Err({ code: 'closed', message: 'peer closed the connection before its hello' }));
    };
    const onError = (error: Error): void => {
      finish(Err({ code: 'closed', message: error.message }));
    };
    const timer = setTimeout(() => {
      finish(Err({ code: 'hello_timeout', message: 'peer did not send its hello in time' }));
    }, defaults.helloTimeoutMs);
    socket.on('data', onData);
    socket.on('close', onClose);
    socket.on('error', onError);
  });
}
