import { randomBytes } from 'node:crypto';
import type { MessageHandlers, PeerLink } from '../../connection/peerLink.js';
import type { Message, MessageOf } from '../../protocol/messages.js';

type Reply = MessageOf<'slotReply'> | MessageOf<'orderReply'>;
type Call = Extract<Message, { call: string }>;

/** Why no reply arrived; `unsent` means that the message never left this process. */
export type CallFailure = 'unsent' | 'link_broke' | 'timeout';

interface OpenCall {
  readonly link: PeerLink;
  readonly settle: (result: Reply | CallFailure) => void;
}

/** Tracks pending calls of agents by call id. */
export class CallTable {
  private readonly open = new Map<string, OpenCall>();
  private readonly prefix = randomBytes(9).toString('base64url');
  private count = 0;

  /** Handlers for replies of agents; a reply without a pending call is dropped. */
  readonly handlers: MessageHandlers = {
    slotReply: (message) => this.open.get(message.call)?.settle(message),
    orderReply: (message) => this.open.get(message.call)?.settle(message),
  };

  get size(): number {
    return this.open.size;
  }

  /**
   * Creates a call id.
   *
   * @returns An id that is unique across processes
   */
  createId(): string {
    this.count += 1;
    return `${this.prefix}.${this.count}`;
  }

  /**
   * Sends a message once and waits for its reply.
   *
   * @param link - Link to the agent
   * @param message - Message with its call id
   * @param timeoutMs - Maximum wait
   * @returns The reply, or why there is none
   */
  send(link: PeerLink, message: Call, timeoutMs: number): Promise<Reply | CallFailure> {
    if (!link.send(message)) return Promise.resolve('unsent');
    return new Promise((resolve) => {
      const settle = (result: Reply | CallFailure): void => {
        clearTimeout(timer);
        this.open.delete(message.call);
        resolve(result);
      };
      const timer = setTimeout(() => {
        settle('timeout');
      }, timeoutMs);
      this.open.set(message.call, { link, settle });
    });
  }

  /**
   * Fails all pending calls of a closed link.
   *
   * @param link - The closed link
   */
  failLink(link: PeerLink): void {
    for (const call of [...this.open.values()]) if (call.link === link) call.settle('link_broke');
  }

  /** Fails all pending calls when this process shuts down. */
  failAll(): void {
    for (const call of [...this.open.values()]) call.settle('link_broke');
  }
}
