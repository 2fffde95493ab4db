import type { BoundedRequest, BoundedResponse, ConnectionOptions } from './boundedConnection.js';
import { BoundedConnection } from './boundedConnection.js';

/**
 * HTTP client that opens a connection for each request and closes it afterwards, so that no late, repeated or surplus
 * response counts as the response to another request.
 */
export class BoundedClient {
  private readonly connections = new Set<BoundedConnection>();

  /** @param options - Options of all connections */
  constructor(private readonly options: Omit<ConnectionOptions, 'origin'> = {}) {}

  /**
   * Sends a request and reads its response within bounds.
   *
   * @param url - URL of the request
   * @param request - Request without its path, and bounds
   * @returns The complete response
   * @throws Error as `BoundedConnection.send`
   */
  async send(url: string, request: Omit<BoundedRequest, 'path'>): Promise<BoundedResponse> {
    const { origin, pathname, search } = new URL(url);
    const connection = new BoundedConnection({ ...this.options, origin });
    this.connections.add(connection);
    try {
      return await connection.send({ ...request, path: `${pathname}${search}` });
    } finally {
      this.connections.delete(connection);
      connection.close();
    }
  }

  /** Closes all connections; requests that are under way fail. */
  close(): void {
    for (const connection of this.connections) connection.close();
  }
}
