import type { AddressInfo, Server, Socket } from 'node:net';
import { createServer } from 'node:net';
import { createServer as createTlsServer } from 'node:tls';
import type { HandshakeError } from './handshake.js';
import { performHandshake } from './handshake.js';
import type { Hello, PeerLink, PeerLinkOptions } from './peerLink.js';
import { HANDSHAKE_TIMEOUT_MS, limitHandshakes } from './pendingHandshakes.js';
import type { TlsMaterial } from './tlsOptions.js';

/** Connections that have not said hello; beyond them the oldest is closed. */
const MAX_PENDING = 64;

export interface LinkServerOptions extends PeerLinkOptions {
  readonly host: string;
  /** Port to bind; 0 selects a free port. */
  readonly port: number;
  readonly self: () => Hello;
  readonly tls?: TlsMaterial | undefined;
  readonly onLink: (link: PeerLink) => void;
  readonly onRefused?: (error: HandshakeError) => void;
}

/** Accepts links from peers. */
export class LinkServer {
  readonly links = new Set<PeerLink>();
  private readonly pending = new Set<Socket>();
  private readonly server: Server;

  constructor(private readonly options: LinkServerOptions) {
    const accept = (socket: Socket): void => {
      void this.accept(socket);
    };
    this.server =
      options.tls === undefined
        ? createServer({ noDelay: true }, accept)
        : createLinkTlsServer(options.tls, accept);
    this.server.on('tlsClientError', (error: Error) => {
      options.onRefused?.({ code: 'protocol_error', message: error.message });
    });
  }

  /**
   * Binds the port.
   *
   * @returns The bound address
   */
  listen(): Promise<AddressInfo> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.options.port, this.options.host, () => {
        this.server.off('error', reject);
        resolve(this.server.address() as AddressInfo);
      });
    });
  }

  /** Stops accepting connections and closes all links. */
  close(): void {
    this.server.close();
    for (const link of this.links) link.close();
  }

  private async accept(socket: Socket): Promise<void> {
    this.pending.add(socket);
    const [oldest] = this.pending;
    if (oldest !== undefined && this.pending.size > MAX_PENDING) {
      this.pending.delete(oldest);
      oldest.destroy();
    }
    const handshake = await performHandshake(socket, this.options.self(), this.options);
    this.pending.delete(socket);
    if (handshake.isErr()) {
      this.options.onRefused?.(handshake.error);
      return;
    }
    const link = handshake.value;
    this.links.add(link);
    link.onClose(() => this.links.delete(link));
    this.options.onLink(link);
  }
}

function createLinkTlsServer(tls: TlsMaterial, accept: (socket: Socket) => void): Server {
  const options = { ...tls, requestCert: true, rejectUnauthorized: true };
  const server = createTlsServer({ ...options, handshakeTimeout: HANDSHAKE_TIMEOUT_MS }, accept);
  limitHandshakes(server);
  return server;
}
