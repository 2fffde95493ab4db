import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import type { Hello, MessageHandlers, PeerLink } from '../../connection/peerLink.js';
import type { TlsMaterial } from '../../connection/tlsOptions.js';
import type { MessageOf } from '../../protocol/messages.js';
import type { ConfigurationView } from '../../version/configuration/types.js';
import type { Logger } from '../logging.js';
import { GroupSession } from './groupSession.js';
import type { GroupDefinition } from './groupDefinition.js';
import { findGroupDefinition } from './groupDefinition.js';
import { parseBody } from './parseBody.js';
import type { GroupBody, GroupHook, RankControlError } from './types.js';

export interface GroupMemberOptions {
  readonly upstream: string;
  readonly service: string;
  readonly upstreamUrl: string;
  readonly tls?: TlsMaterial | undefined;
  readonly configuration: ConfigurationView;
  readonly logger: Logger;
  readonly readClock: () => number;
}

/** Runs a session in the group of the agent's upstream while the configuration defines one. */
export class GroupMember implements GroupHook {
  readonly handlers: MessageHandlers = {
    rankControl: (message, link) => {
      this.receive(message, link);
    },
  };
  private readonly inboundLinks = new Set<PeerLink>();
  private session: GroupSession | undefined;
  private definitionKey = '';
  private sessionCount = 0;
  private highestNumber = 0;
  private self: (() => Hello) | undefined;
  private removeConfigurationListener: () => void = () => undefined;
  private lastRefusal: RankControlError | undefined;
  private refusals = 0;

  constructor(private readonly options: GroupMemberOptions) {}

  start(self: () => Hello): void {
    this.self = self;
    this.removeConfigurationListener = this.options.configuration.onChange(() => {
      this.update();
    });
    this.update();
  }

  async stop(): Promise<void> {
    this.removeConfigurationListener();
    this.self = undefined;
    await this.closeSession();
  }

  addLink(link: PeerLink): void {
    this.inboundLinks.add(link);
    link.onClose(() => this.inboundLinks.delete(link));
    this.session?.links.addLink(link);
  }

  describe(): unknown {
    if (this.session === undefined) return undefined;
    const refused = { count: this.refusals, last: this.lastRefusal };
    return { ...(this.session.describe() as object), refused };
  }

  /** Starts a new session when the group definition, including a rank's address, has changed. */
  private update(): void {
    const { configuration, service, upstream } = this.options;
    const definition = findGroupDefinition(configuration, service, upstream);
    const text = definition === undefined ? '' : JSON.stringify(definition);
    if (text === this.definitionKey || this.self === undefined) return;
    this.definitionKey = text;
    void this.closeSession();
    if (definition !== undefined) this.openSession(definition, this.self);
  }

  private openSession(definition: GroupDefinition, self: () => Hello): void {
    this.sessionCount += 1;
    const { handlers, highestNumber, sessionCount, options } = this;
    this.session = new GroupSession({
      ...options,
      definition,
      self,
      handlers,
      highestNumber,
      session: sessionCount,
    });
    for (const link of this.inboundLinks) this.session.links.addLink(link);
    this.session.start();
  }

  private async closeSession(): Promise<void> {
    const { session } = this;
    if (session === undefined) return;
    this.session = undefined;
    this.highestNumber = Math.max(this.highestNumber, session.numbers.highest);
    await session.stop();
  }

  private receive(message: MessageOf<'rankControl'>, link: PeerLink): void {
    const parsed = this.check(message, link);
    if (parsed.isOk()) {
      this.session?.handle(parsed.value);
      return;
    }
    this.refusals += 1;
    this.lastRefusal = parsed.error;
    const { code, path } = parsed.error;
    this.options.logger.warn({ code, path, peer: link.peer.processId }, 'rank control refused');
  }

  private check(
    message: MessageOf<'rankControl'>,
    link: PeerLink,
  ): Result<GroupBody, RankControlError> {
    const definition = this.session?.definition;
    if (definition?.id !== message.group) {
      const text = 'this process is not a member of the group';
      return Err({ code: 'unknown_group', path: 'group', message: text });
    }
    const from = this.session?.links.findRank(link);
    const text = 'the peer does not have this rank in the group';
    if (from === undefined) return Err({ code: 'unknown_rank', path: '', message: text });
    return parseBody(message.body, definition.ranks.length).andThen((body) =>
      'rank' in body && body.rank !== from
        ? Err<RankControlError>({ code: 'unknown_rank', path: 'rank', message: text })
        : Ok(body),
    );
  }
}
