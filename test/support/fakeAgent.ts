import { randomBytes } from 'node:crypto';
import { LinkServer } from '../../src/connection/linkServer.js';
import type { Hello, MessageHandlers, PeerLink } from '../../src/connection/peerLink.js';
import type { Message, MessageOf } from '../../src/protocol/messages.js';
import { createOrderId } from '../../src/protocol/orderId.js';

export interface FakeAgentOptions {
  readonly upstream: string;
  readonly service: string;
  readonly availabilityZone?: string;
  /** Handles a request; by default requests get no response. */
  readonly onRequest?: (message: MessageOf<'request'>, link: PeerLink, agent: FakeAgent) => void;
  readonly handlers?: MessageHandlers;
}

/** Agent with scripted responses, reachable over a real link. */
export class FakeAgent {
  readonly incarnation = randomBytes(8).toString('hex');
  readonly received: Message[] = [];
  address = '';
  private readonly server: LinkServer;

  constructor(private readonly options: FakeAgentOptions) {
    const recordMessage = (message: Message): void => {
      this.received.push(message);
    };
    this.server = new LinkServer({
      host: '127.0.0.1',
      port: 0,
      self: () => this.createHello(),
      onLink: () => undefined,
      handlers: {
        request: (message, link) => {
          recordMessage(message);
          options.onRequest?.(message, link, this);
        },
        cancel: recordMessage,
        slotRequest: (message, link) => {
          recordMessage(message);
          this.issueSlots(message, link);
        },
        orderPut: recordMessage,
        orderGet: recordMessage,
        orderCancel: recordMessage,
        ...options.handlers,
      },
    });
  }

  async start(): Promise<void> {
    const { port } = await this.server.listen();
    this.address = `127.0.0.1:${port}`;
  }

  /** Destroys all links, as when the process is killed. */
  destroyLinks(): void {
    for (const link of this.server.links) link.destroy('closed');
  }

  broadcast(message: Message): void {
    for (const link of this.server.links) link.send(message);
  }

  close(): void {
    this.server.close();
    this.destroyLinks();
  }

  countReceived(type: Message['type']): number {
    return this.received.filter((message) => message.type === type).length;
  }

  private createHello(): Hello {
    const { upstream, service, availabilityZone = 'ikeja' } = this.options;
    return {
      type: 'hello',
      version: 1,
      role: 'agent',
      processId: upstream,
      incarnation: this.incarnation,
      host: '127.0.0.1',
      availabilityZone,
      upstreams: [{ upstream, service }],
    };
  }

  private issueSlots(message: MessageOf<'slotRequest'>, link: PeerLink): void {
    const { workspace, service, call, count } = message;
    const { address, incarnation } = this;
    const parts = { address, host: '127.0.0.1', incarnation, workspace, service, expiresAt: 0 };
    const ids = Array.from({ length: count }, () => createOrderId(parts));
    link.send({ type: 'slotReply', call, ids, expiresInMs: 1000 });
  }
}

/**
 * Sends the chunks of a complete or partial chat response.
 *
 * @param link - Link of the request
 * @param attempt - Attempt id
 * @param tokens - Tokens, one per chunk
 */
export function sendChunks(link: PeerLink, attempt: string, tokens: readonly string[]): void {
  for (const [sequence, token] of tokens.entries())
    link.send({ type: 'chunk', attempt, sequence, tokens: [token] });
}

/**
 * Sends the end marker of a response.
 *
 * @param link - Link of the request
 * @param attempt - Attempt id
 * @param chunks - Number of chunks stated in the marker
 * @param body - Response body of a plain service
 */
export function sendEnd(link: PeerLink, attempt: string, chunks: number, body = ''): void {
  link.send({
    type: 'end',
    attempt,
    chunks,
    status: 200,
    body: new Uint8Array(Buffer.from(body)),
    finishReason: 'stop',
    usage: { promptTokens: 3, outputTokens: chunks },
  });
}
