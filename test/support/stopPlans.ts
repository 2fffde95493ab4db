import type { StopControl } from './stopSoak.js';

/** Time for which all stops of a plan begin. */
const STOPS_MS = 6_000;
/** After the last signal, the last requests on kept connections still come. */
const TAIL_MS = 9_000;

type StopPlan = (control: StopControl, gateways: number) => Promise<void>;

/** Ways of stopping gateways in a soak. */
export const stopPlans: Readonly<Record<string, StopPlan>> = {
  /** One gateway, the others serve on. */
  one: async ({ stop, wait }) => {
    void stop(0);
    await wait(TAIL_MS);
  },
  /** One after the other, so that their stops overlap. */
  inTurn: async ({ stop, wait, random }, gateways) => {
    for (let index = 0; index < gateways; index += 1) {
      void stop(index);
      await wait((random() * STOPS_MS) / gateways);
    }
    await wait(TAIL_MS);
  },
  /** All at once, with nowhere else to go for callers. */
  all: async ({ stop, wait }, gateways) => {
    for (let index = 0; index < gateways; index += 1) void stop(index);
    await wait(TAIL_MS);
  },
  /** Signals in series that overlap: repeated stops, hang-ups, pauses and changes of the configuration. */
  series: async ({ stop, send, wait, random, publishConfiguration }, gateways) => {
    const until = performance.now() + STOPS_MS;
    while (performance.now() < until) {
      const index = Math.floor(random() * gateways);
      const handle = seriesHandlers[Math.floor(random() * seriesHandlers.length)];
      handle?.({ stop, send, index, publishConfiguration });
      await wait(random() * 700);
    }
    await wait(TAIL_MS);
  },
};

interface SeriesStep extends Pick<StopControl, 'stop' | 'send' | 'publishConfiguration'> {
  readonly index: number;
}

const seriesHandlers: readonly ((step: SeriesStep) => void)[] = [
  ({ stop, index }) => void stop(index),
  ({ stop, send, index }) => {
    void stop(index);
    send(index, 'SIGTERM');
    send(index, 'SIGHUP');
  },
  ({ send, index }) => {
    send(index, 'SIGHUP');
  },
  ({ publishConfiguration }) => {
    publishConfiguration();
  },
];
