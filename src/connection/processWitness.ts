import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { setImmediate as waitForTurn, setTimeout as sleep } from 'node:timers/promises';
import { startTimeout } from '../startTimeout.js';
import { connectionFaults } from './connectionFaults.js';
import { parseAddress } from './linkClient.js';
import { probeListener } from './probeListener.js';
import { bodylessStatuses, isFramed } from './responseFraming.js';

/** Ports of URLs that name none, by their protocol. */
const defaultPorts: Readonly<Record<string, number>> = { 'http:': 80, 'https:': 443 };
const CONNECT_TIMEOUT_MS = 400;
/** Time in which a process that ends closes its connections, also if the host is busy. */
const MAX_CLOSING_MS = 200;
/** An upstream may close an idle connection; each one that it closes is replaced, up to this number. */
const MAX_CONNECTIONS = 8;
/** A server may send a short response, such as 408, before it closes an idle connection; see `MAX_CONNECTIONS`. */
const MAX_IDLE_BYTES = 8 * 1024;
/** What arrives is not used, so all connections read into the same memory, and no more than this at a time. */
const discarded = Buffer.alloc(4 * 1024);

export interface ProcessWitnessOptions {
  /** `ip:port` of the upstream. */
  readonly address: string;
  /** Whether this process was paused shortly before, so that what it reads may be older than it seems. */
  hasPaused(): boolean;
}

/**
 * Shows whether an upstream outlived a response that has neither a length nor chunks.
 *
 * Such a response ends with its connection, but the operating system ends the connections of a killed process in the
 * same way. So a second, idle connection is held from the head of the response on: it ends too if the process does.
 */
export class ProcessWitness {
  private socket: Socket | undefined;
  /** Set while a connection is open that was accepted before the response ended. */
  private isOpen = false;
  /** Whether a connection that the upstream closes is replaced: until the response has ended. */
  private isReplaced = true;
  private connections = 0;
  /** Bytes received on all connections, none of which carries a request. */
  private idleBytes = 0;
  private opened: Promise<boolean>;

  constructor(private readonly options: ProcessWitnessOptions) {
    this.opened = this.open();
  }

  /**
   * Checks after the end of the response whether the process that sent it still runs.
   *
   * @returns False if it has ended, or if that cannot be excluded
   */
  async confirm(): Promise<boolean> {
    // A connection that was not accepted before the end may lead to a successor of the process at the same address,
    // but none can have started since, unless this process read the end late.
    if (!this.isOpen && this.options.hasPaused()) return false;
    this.isReplaced = false;
    if (!(await this.opened)) return false;
    // The host's reply to a new connection arrives after the end of an earlier one, so the witness has ended by then if
    // the process has.
    const isListening = await probeListener(this.options.address);
    // Both a draining upstream and one that is about to end refuse connections; the latter closes one after the other.
    if (!isListening) await sleep(MAX_CLOSING_MS);
    await waitForTurn();
    return this.isOpen;
  }

  /** Closes the connection. */
  close(): void {
    this.isReplaced = false;
    this.socket?.destroy();
  }

  private replace(): Promise<boolean> {
    const isAllowed = this.isReplaced && this.connections < MAX_CONNECTIONS;
    return isAllowed ? this.open() : Promise.resolve(false);
  }

  /**
   * Counts bytes that nobody asked for, and closes the connection for good beyond the bound.
   *
   * @returns Whether to read on
   */
  private acceptIdle(bytes: number): boolean {
    this.idleBytes += bytes;
    if (this.idleBytes <= MAX_IDLE_BYTES) return true;
    this.isOpen = false;
    this.isReplaced = false;
    const { address: upstream } = this.options;
    connectionFaults.record('idle_bytes', { upstream, bytes: this.idleBytes }, performance.now());
    this.socket?.destroy();
    return false;
  }

  private open(): Promise<boolean> {
    this.connections += 1;
    const socket = connect({
      ...parseAddress(this.options.address),
      noDelay: true,
      onread: { buffer: discarded, callback: (bytes) => this.acceptIdle(bytes) },
    });
    this.socket = socket;
    return new Promise((resolve) => {
      const cancelTimeout = startTimeout(CONNECT_TIMEOUT_MS, () => {
        socket.destroy();
      });
      let hasOpened = false;
      let hasEnded = false;
      const end = (): void => {
        if (hasEnded) return;
        hasEnded = true;
        cancelTimeout();
        this.isOpen = false;
        resolve(false);
        if (hasOpened) this.opened = this.replace();
      };
      socket.once('end', end).once('close', end);
      socket.on('error', end);
      socket.once('connect', () => {
        cancelTimeout();
        // The end of the response is read first if it arrived together with the acceptance.
        setImmediate(() => {
          if (hasEnded) return;
          hasOpened = true;
          this.isOpen = true;
          resolve(true);
        });
      });
    });
  }
}

/** Exchange with an upstream whose response may need a witness. */
export interface WitnessedExchange {
  /** URL of the upstream. */
  readonly url: string;
  readonly hasPaused: () => boolean;
}

/**
 * Creates a witness for a response that only the end of its connection ends.
 *
 * @param exchange - Exchange that the response belongs to
 * @param status - Status of the response
 * @param headers - Headers of the response, with lower-case names
 * @returns The witness; undefined if the response states where it ends
 */
export function createWitness(
  { url, hasPaused }: WitnessedExchange,
  status: number,
  headers: Readonly<Record<string, string | string[] | undefined>>,
): ProcessWitness | undefined {
  if (isFramed(headers) || bodylessStatuses.has(status)) return undefined;
  const { hostname, port, protocol } = new URL(url);
  const address = `${hostname}:${port === '' ? defaultPorts[protocol] : port}`;
  return new ProcessWitness({ address, hasPaused });
}
