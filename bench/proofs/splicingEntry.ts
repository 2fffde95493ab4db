import { openLink } from '../../src/connection/linkClient.js';
import type { Hello, PeerLink } from '../../src/connection/peerLink.js';
import { defaults } from '../../src/defaults.js';
import type { ChatVerdict } from '../../test/support/chatCaller.js';
import { checkResponse } from '../../test/support/chatCaller.js';

const RESPONSE_TIMEOUT_MS = 4_000;
const MAX_ATTEMPTS = 3;

interface PendingResponse {
  text: string;
  readonly end: (isEnded: boolean) => void;
}

/**
 * Baseline entry on the same links: it appends every chunk as it arrives, continues with another agent after a
 * failure, and treats the close of a link as the end of the response.
 */
export class SplicingEntry {
  private readonly answers = new Map<string, PendingResponse>();
  private readonly links = new Map<string, PeerLink>();
  private turn = 0;

  constructor(
    private readonly addresses: readonly string[],
    private readonly service: string,
    private readonly workspace: string,
  ) {}

  /**
   * Runs one chat.
   *
   * @param prompt - Message text
   * @param maxTokens - Length of the complete response
   * @returns Verdict on the response that the caller would have received
   */
  async runChat(prompt: string, maxTokens: number): Promise<ChatVerdict> {
    const id = `naive.${prompt}`;
    const answer = { text: '', end: (): void => undefined };
    let isEnded = false;
    for (let attempts = 0; attempts < MAX_ATTEMPTS && !isEnded; attempts += 1) {
      this.turn += 1;
      const link = await this.getOrOpenLink(
        this.addresses[this.turn % this.addresses.length] ?? '',
      );
      if (link === undefined) continue;
      isEnded = await this.runAttempt(link, id, answer, prompt, maxTokens);
    }
    return checkResponse(answer.text, isEnded, prompt, maxTokens);
  }

  /** Closes all links. */
  close(): void {
    for (const link of this.links.values()) link.close();
  }

  private runAttempt(
    link: PeerLink,
    id: string,
    answer: PendingResponse,
    prompt: string,
    maxTokens: number,
  ): Promise<boolean> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.answers.get(id)?.end(false);
      }, RESPONSE_TIMEOUT_MS);
      const end = (isEnded: boolean): void => {
        clearTimeout(timer);
        resolve(isEnded);
      };
      const open = Object.assign(answer, { end });
      this.answers.set(id, open);
      const body = Buffer.from(
        JSON.stringify({ prompt: `user: ${prompt}\n`, max_tokens: maxTokens }),
      );
      link.send({
        type: 'request',
        attempt: id,
        workspace: this.workspace,
        service: this.service,
        kind: 'chat',
        body,
        fingerprint: prompt,
        cost: maxTokens,
        remainingMs: RESPONSE_TIMEOUT_MS,
        resumeAfter: 0,
        resumeText: '',
      });
      link.onClose(() => {
        end(open.text !== '');
      });
    });
  }

  private async getOrOpenLink(address: string): Promise<PeerLink | undefined> {
    const existing = this.links.get(address);
    if (existing?.isOpen === true) return existing;
    const opened = await openLink({
      address,
      self: createHello,
      handlers: {
        chunk: ({ attempt, tokens }) => {
          const answer = this.answers.get(attempt);
          if (answer !== undefined) answer.text += tokens.join('');
        },
        end: ({ attempt }) => this.answers.get(attempt)?.end(true),
        fail: ({ attempt }) => this.answers.get(attempt)?.end(false),
      },
    });
    if (opened.isErr()) return undefined;
    this.links.set(address, opened.value);
    return opened.value;
  }
}

function createHello(): Hello {
  return {
    type: 'hello',
    version: defaults.protocolVersion,
    role: 'entry',
    processId: 'naive-entry',
    incarnation: 'naive-entry-1',
    host: 'naive-entry',
    availabilityZone: 'ikeja',
    upstreams: [],
  };
}
