import type { AddressInfo, Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';

const HEADER_BYTES = 4;

/** Fault applied to one frame. Frames behind a delayed frame are delayed as well, as in TCP. */
export interface FrameFault {
  /** Number of times the frame is forwarded; 0 drops it. */
  readonly copies?: number;
  readonly delayMs?: number;
  /** Forwards the next frame before this one. */
  readonly swapWithNext?: boolean;
  /** Closes the connection in the middle of this frame. */
  readonly truncate?: boolean;
}

/** Selects the fault of each frame after the hello of its direction. */
export type SelectFault = (direction: 'toServer' | 'toClient') => FrameFault;

/** TCP relay in front of a link port that drops, delays, duplicates, reorders and truncates frames. */
export class FrameRelay {
  port = 0;
  /** Selects faults; by default all frames are forwarded unchanged. */
  decide: SelectFault = () => ({});
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();

  constructor(private readonly targetPort: number) {
    this.server = createServer((client) => {
      const target = connect({ host: '127.0.0.1', port: this.targetPort, noDelay: true });
      client.setNoDelay(true);
      void this.forwardFrames(client, target, 'toServer');
      void this.forwardFrames(target, client, 'toClient');
    });
  }

  /** Listens on a free loopback port. */
  async listen(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    this.port = (this.server.address() as AddressInfo).port;
  }

  /** Destroys all connections; new ones are accepted. */
  closeConnections(): void {
    for (const socket of this.sockets) socket.destroy();
  }

  close(): void {
    this.server.close();
    this.closeConnections();
  }

  private async forwardFrames(
    from: Socket,
    to: Socket,
    direction: 'toServer' | 'toClient',
  ): Promise<void> {
    this.sockets.add(from);
    let held: Buffer | undefined;
    let isHello = true;
    try {
      for await (const frame of readFrames(from)) {
        const fault = isHello ? {} : this.decide(direction);
        isHello = false;
        if (fault.delayMs !== undefined)
          await new Promise((done) => setTimeout(done, fault.delayMs));
        if (fault.truncate === true) {
          to.write(frame.subarray(0, Math.ceil(frame.length / 2)));
          break;
        }
        if (fault.swapWithNext === true && held === undefined) {
          held = frame;
          continue;
        }
        for (let copy = 0; copy < (fault.copies ?? 1); copy += 1) to.write(frame);
        if (held !== undefined) to.write(held);
        held = undefined;
      }
    } catch {
      // A connection error closes both directions.
    }
    to.end();
    from.destroy();
    this.sockets.delete(from);
  }
}

async function* readFrames(socket: Socket): AsyncGenerator<Buffer> {
  let pendingBytes = Buffer.alloc(0);
  for await (const data of socket) {
    pendingBytes = Buffer.concat([pendingBytes, data as Buffer]);
    while (pendingBytes.length >= HEADER_BYTES) {
      const end = HEADER_BYTES + pendingBytes.readUInt32BE(0);
      if (pendingBytes.length < end) break;
      yield pendingBytes.subarray(0, end);
      pendingBytes = pendingBytes.subarray(end);
    }
  }
}
