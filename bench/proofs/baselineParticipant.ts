import type { RankParticipantOptions } from '../../src/version/expertMap/rankParticipant.js';
import type { MapMessage } from '../../src/version/expertMap/types.js';

/** Baseline participant: schedules a map for the given step as soon as it is announced, without a decision. */
export class BaselineParticipant {
  readonly stopReason: string | undefined = undefined;
  incarnation = 0;
  private nextStep = 0;

  constructor(private readonly options: RankParticipantOptions) {}

  handle(message: MapMessage): void {
    const { rank, engine } = this.options;
    const { incarnation, fencing } = message;
    const reply = (answer: MapMessage): void => {
      this.options.send({ coordinator: fencing }, answer);
    };
    if (message.type === 'begin') {
      if (message.process !== this.options.process) return;
      if (incarnation > this.incarnation) {
        this.incarnation = incarnation;
        this.nextStep = 0;
        engine.setMap(message.version, 0, message);
      }
      reply({ type: 'begun', incarnation, fencing, process: message.process, rank });
    }
    if (incarnation !== this.incarnation) return;
    if (message.type === 'prepare') {
      engine.setMap(message.version, Math.max(1, message.step), message);
      reply({ type: 'prepared', incarnation, fencing, rank, change: message.change });
    }
    if (message.type === 'decide') {
      reply({ type: 'decided', incarnation, fencing, rank, change: message.change });
    }
    if (message.type === 'promiseRequest') {
      reply({ type: 'promise', incarnation, fencing, rank, prepared: null, decision: null });
    }
  }

  update(): void {
    // Nothing to resend: the baseline participant does not hold steps.
  }

  openStep(): { incarnation: number; step: number } | undefined {
    if (this.incarnation === 0) return undefined;
    const step = this.nextStep;
    this.nextStep = step + 1;
    return { incarnation: this.incarnation, step };
  }
}
