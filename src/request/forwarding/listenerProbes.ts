import { probeListener } from '../../connection/probeListener.js';

/** Checks of upstreams whose responses broke off; requests that break off together share one. */
export class ListenerProbes {
  private readonly running = new Map<string, Promise<boolean>>();

  /**
   * Checks whether an upstream accepts TCP connections.
   *
   * @param address - `ip:port`
   * @returns False when the connection is refused or times out
   */
  probe(address: string): Promise<boolean> {
    const running = this.running.get(address);
    if (running !== undefined) return running;
    const started = probeListener(address).finally(() => {
      this.running.delete(address);
    });
    this.running.set(address, started);
    return started;
  }
}
