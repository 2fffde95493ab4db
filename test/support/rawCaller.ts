import type { Socket } from 'node:net';
import { connect } from 'node:net';

/** How a connection ended for its caller: by an orderly close, by a reset, or not within the time-out. */
export type ConnectionEnd = 'closed' | 'reset' | 'open';

/** Bytes that a caller received on one connection. */
export interface RawExchange {
  readonly received: string;
  readonly end: ConnectionEnd;
}

/** A caller's connection to a gateway that shows the received bytes and how the connection ended. */
export class RawCaller {
  received = '';
  end: ConnectionEnd = 'open';
  readonly ended: Promise<void>;
  private readonly socket: Socket;

  /** @param url - Base URL of the gateway */
  constructor(url: string) {
    const { port } = new URL(url);
    // Half-open connections show whether the gateway ends the connection on its own.
    this.socket = connect({
      host: '127.0.0.1',
      port: Number(port),
      allowHalfOpen: true,
      noDelay: true,
    });
    this.socket.setEncoding('latin1').on('data', (text: string) => {
      this.received += text;
    });
    this.ended = new Promise((resolve) => {
      const finish = (end: ConnectionEnd): void => {
        if (this.end === 'open') this.end = end;
        this.socket.destroy();
        resolve();
      };
      this.socket.once('end', () => {
        // Node reports a reset that it reads together with earlier bytes as an orderly end; only then the peer is unknown.
        finish(this.socket.remoteAddress === undefined ? 'reset' : 'closed');
      });
      this.socket.once('error', () => {
        finish('reset');
      });
      this.socket.once('close', () => {
        resolve();
      });
    });
  }

  /** Sends bytes. */
  send(text: string): void {
    this.socket.write(text);
  }

  /** Closes the sending half of the connection. */
  closeSending(): void {
    this.socket.end();
  }

  /** Stops reading until `resume` is called. */
  pause(): void {
    this.socket.pause();
  }

  resume(): void {
    this.socket.resume();
  }

  /** Closes the connection. */
  close(): void {
    this.socket.destroy();
  }

  /**
   * Waits for the end of the connection.
   *
   * @param timeoutMs - Time-out in milliseconds
   * @returns The received bytes
   */
  async waitForEnd(timeoutMs: number): Promise<RawExchange> {
    const timer = setTimeout(() => this.socket.destroy(), timeoutMs);
    await this.ended;
    clearTimeout(timer);
    return { received: this.received, end: this.end };
  }
}

/**
 * Formats a request with the headers that clients of the platform set.
 *
 * @param path - Request target
 * @param requestId - Id of the request
 * @param body - Body; absent for GET
 * @param headers - Further header lines
 * @returns Text of the request
 */
export function formatRequest(
  path: string,
  requestId: string,
  body?: string,
  headers: readonly string[] = [],
): string {
  const lines = [
    `${body === undefined ? 'GET' : 'POST'} ${path} HTTP/1.1`,
    'Host: app.example',
    `Request-Id: ${requestId}`,
    'Deadline-Ms: 2000',
    'X-Api-Key: key-1',
    ...(body === undefined ? [] : [`Content-Length: ${body.length}`]),
    ...headers,
  ];
  return `${lines.join('\r\n')}\r\n\r\n${body ?? ''}`;
}
