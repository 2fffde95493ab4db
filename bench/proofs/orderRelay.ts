import type { Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';

/** How a relay treats bytes; connections that lost bytes are closed when the fault ends. */
export type RelayFault =
  | { readonly kind: 'pass' }
  /** The agent receives everything; its responses are lost. */
  | { readonly kind: 'dropResponses' }
  /** All bytes on connections of this process are dropped; others are not affected. */
  | { readonly kind: 'partition'; readonly processId: string }
  /** Each connection is closed after this many more bytes to the agent. */
  | { readonly kind: 'disconnectAfter'; readonly bytes: number };

interface RelayedConnection {
  readonly entrySocket: Socket;
  readonly agentSocket: Socket;
  /** Start of the first frame, which contains the id of the connecting process. */
  hello: string;
  remainingBytes: number;
}

/** TCP relay between entries and one agent, listening at the agent's published address. */
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
   * Starts a fault, or ends the current one with `pass`.
   *
   * @param fault - The fault
   */
  apply(fault: RelayFault): void {
    const previous = this.fault;
    this.fault = fault;
    for (const connection of this.connections) {
      if (fault.kind === 'disconnectAfter') connection.remainingBytes = fault.bytes;
      if (previous.kind === 'dropResponses' || isPartitioned(previous, connection))
        destroySockets(connection);
    }
  }

  /** Closes all connections and the listener. */
  close(): void {
    for (const connection of this.connections) destroySockets(connection);
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
    if (this.fault.kind === 'disconnectAfter') connection.remainingBytes = this.fault.bytes;
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
      // Flushes the partial frame before the connection closes.
      agentSocket.end();
      entrySocket.destroy();
    });
    agentSocket.on('data', (data: Buffer) => {
      if (this.fault.kind !== 'dropResponses' && !isPartitioned(this.fault, connection))
        entrySocket.write(data);
    });
  }
}

function isPartitioned(fault: RelayFault, connection: RelayedConnection): boolean {
  return fault.kind === 'partition' && connection.hello.includes(fault.processId);
}

function destroySockets(connection: RelayedConnection): void {
  connection.entrySocket.destroy();
  connection.agentSocket.destroy();
}
