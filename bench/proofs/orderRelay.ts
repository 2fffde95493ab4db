import type { Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';

/** What a relay does with bytes; connections that lost bytes are cut when the fault ends. */
export type RelayFault =
  | { readonly kind: 'pass' }
  /** The agent receives everything; its replies are lost. */
  | { readonly kind: 'dropReplies' }
  /** Nothing passes on connections of this process; the others are served. */
  | { readonly kind: 'partition'; readonly processId: string }
  /** Each connection is cut after it has carried this many more bytes to the agent. */
  | { readonly kind: 'cutAfter'; readonly bytes: number };

interface RelayedConnection {
  readonly entrySocket: Socket;
  readonly agentSocket: Socket;
  /** Start of the first frame, which names the process that connects. */
  hello: string;
  remainingBytes: number;
}

/** TCP relay between entries and one agent, which stands where the agent's address is published. */
export class OrderRelay {
  private fault: RelayFault = { kind: 'pass' };
  private readonly connections = new Set<RelayedConnection>();
  private readonly server: Server;

  /** @param target - Address of the agent; may be changed for new connections */
  constructor(public target: { readonly host: string; readonly port: number }) {
    this.server = createServer((entrySocket) => {
      this.addConnection(entrySocket);
    });
  }

  /**
   * Listens on the published address.
   *
   * @param port - Port on 127.0.0.1
   */
  listen(port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, '127.0.0.1', resolve);
    });
  }

  /**
   * Starts a fault, or ends the present one with `pass`.
   *
   * @param fault - The fault
   */
  apply(fault: RelayFault): void {
    const previous = this.fault;
    this.fault = fault;
    for (const pair of this.connections) {
      if (fault.kind === 'cutAfter') pair.remainingBytes = fault.bytes;
      if (previous.kind === 'dropReplies' || isPartitioned(previous, pair)) destroySockets(pair);
    }
  }

  /** Ends all connections and the listener. */
  close(): void {
    for (const pair of this.connections) destroySockets(pair);
    this.server.close();
  }

  private addConnection(entrySocket: Socket): void {
    const agentSocket = connect(this.target.port, this.target.host);
    const connection: RelayedConnection = {
      entrySocket,
      agentSocket,
      hello: '',
      remainingBytes: Number.POSITIVE_INFINITY,
    };
    if (this.fault.kind === 'cutAfter') connection.remainingBytes = this.fault.bytes;
    this.connections.add(connection);
    for (const socket of [entrySocket, agentSocket]) {
      socket.setNoDelay(true);
      socket.once('error', () => {
        destroySockets(connection);
      });
      socket.once('close', () => {
        destroySockets(connection);
        this.connections.delete(connection);
      });
    }
    entrySocket.on('data', (data: Buffer) => {
      if (connection.hello === '') connection.hello = data.toString('latin1');
      if (isPartitioned(this.fault, connection)) return;
      agentSocket.write(data.subarray(0, Math.min(data.length, connection.remainingBytes)));
      connection.remainingBytes -= data.length;
      if (connection.remainingBytes > 0) return;
      // The partial frame leaves before the end of the connection.
      agentSocket.end();
      entrySocket.destroy();
    });
    agentSocket.on('data', (data: Buffer) => {
      if (this.fault.kind !== 'dropReplies' && !isPartitioned(this.fault, connection))
        entrySocket.write(data);
    });
  }
}

function isPartitioned(fault: RelayFault, pair: RelayedConnection): boolean {
  return fault.kind === 'partition' && pair.hello.includes(fault.processId);
}

function destroySockets(pair: RelayedConnection): void {
  pair.entrySocket.destroy();
  pair.agentSocket.destroy();
}
