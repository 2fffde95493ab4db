import type { Server, Socket } from 'node:net';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';

/** A request as a worker has read it. */
export interface WorkerRequest {
  readonly worker: string;
  readonly method: string;
  readonly path: string;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: Buffer;
  readonly requestId: string;
  /** Milliseconds since the start of the run. */
  readonly at: number;
}

/** Writes the answer to one request. */
export type Answerer = (request: WorkerRequest, socket: Socket) => void;

const HEAD_END = '\r\n\r\n';

/** Worker that reads HTTP from a socket by itself, so that a test chooses every byte of its answers. */
export class WorkerStandIn {
  readonly requests: WorkerRequest[] = [];
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;

  constructor(
    readonly id: string,
    private readonly readClock: () => number,
    private readonly answer: Answerer,
  ) {
    this.server = createServer({ noDelay: true }, (socket) => {
      this.serve(socket);
    });
  }

  async listen(ip: string): Promise<string> {
    await new Promise<void>((resolve) => this.server.listen(0, ip, resolve));
    return `${ip}:${(this.server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private serve(socket: Socket): void {
    this.sockets.add(socket);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('error', () => undefined);
    let pending: Buffer = Buffer.alloc(0);
    socket.on('data', (data: Buffer) => {
      pending = Buffer.concat([pending, data]);
      for (;;) {
        const end = pending.indexOf(HEAD_END);
        if (end === -1) return;
        const [requestLine = '', ...lines] = pending
          .subarray(0, end)
          .toString('latin1')
          .split('\r\n');
        const headers = new Map<string, string>();
        for (const line of lines) {
          const colon = line.indexOf(':');
          headers.set(line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim());
        }
        const bodyStart = end + HEAD_END.length;
        const bodyEnd = bodyStart + Number(headers.get('content-length') ?? 0);
        if (pending.length < bodyEnd) return;
        const [method = '', path = ''] = requestLine.split(' ');
        const request: WorkerRequest = {
          worker: this.id,
          method,
          path,
          headers,
          body: pending.subarray(bodyStart, bodyEnd),
          requestId: headers.get('request-id') ?? '',
          at: this.readClock(),
        };
        pending = pending.subarray(bodyEnd);
        this.handle(request, socket);
      }
    });
  }

  private handle(request: WorkerRequest, socket: Socket): void {
    const expected = request.headers.get('expect-instance');
    if (expected !== undefined && expected !== this.id) {
      socket.write(
        `HTTP/1.1 421 Misdirected Request\r\nInstance-Id: ${this.id}\r\nContent-Length: 0\r\n\r\n`,
      );
      return;
    }
    if (request.path === '/health') {
      socket.write(`HTTP/1.1 200 OK\r\nInstance-Id: ${this.id}\r\nContent-Length: 0\r\n\r\n`);
      return;
    }
    this.requests.push(request);
    this.answer(request, socket);
  }
}

/**
 * Formats an event of a stream.
 *
 * @param id - Event id
 * @param text - Text of the event
 * @returns Bytes
 */
export function formatEvent(id: number, text: string): string {
  return `id: ${id}\ndata: ${text}\n\n`;
}
