import seedrandom from 'seedrandom';

const HOUR_MS = 3_600_000;
const DAY_MS = 24 * HOUR_MS;

export interface TraceOptions {
  readonly seed: string;
  readonly layers: number;
  readonly experts: number;
  /** Disables drift, burst and daily cycle; sampling noise remains. */
  readonly steady: boolean;
}

const ZIPF_EXPONENT = 0.7;
/** Standard deviation of the change of an expert's log popularity over one hour. */
const DRIFT_PER_HOUR = 0.12;
/** Mean reversion: the random walk returns to the base popularity within some hours. */
const DRIFT_RETURN_PER_HOUR = 0.1;
const DAY_AMPLITUDE = 0.3;
const BURST_START_MS = 14 * HOUR_MS;
const BURST_MS = HOUR_MS;
const BURST_FACTOR = 4;
const BURST_EXPERTS = 6;
/** Relative noise of an expert's count in one sample, at mean popularity. */
const SAMPLE_NOISE = 0.05;

/** Generates seeded expert popularity over time: a Zipf distribution with drift, a burst and a daily cycle. */
export class ExpertTrace {
  private readonly random: () => number;
  private readonly base: number[][];
  private readonly drift: number[][];
  private readonly phase: number[][];
  private readonly burst: Set<number>[];

  constructor(private readonly options: TraceOptions) {
    this.random = seedrandom(options.seed);
    const { layers, experts } = options;
    const createMatrix = (value: () => number): number[][] =>
      Array.from({ length: layers }, () => Array.from({ length: experts }, value));
    this.base = Array.from({ length: layers }, () => this.createZipfPopularity());
    this.drift = createMatrix(() => 0);
    this.phase = createMatrix(() => this.random() * 2 * Math.PI);
    this.burst = Array.from(
      { length: layers },
      () =>
        new Set(Array.from({ length: BURST_EXPERTS }, () => Math.floor(this.random() * experts))),
    );
  }

  /**
   * Generates the next sample.
   *
   * @param now - Milliseconds since midnight of the first day
   * @param elapsedMs - Time since the last sample
   * @returns Token counts by layer and expert, with noise
   */
  nextSample(now: number, elapsedMs: number): number[][] {
    if (!this.options.steady) this.advanceDrift(elapsedMs / HOUR_MS);
    return this.base.map((layer, index) =>
      layer.map((base, expert) => {
        const value = base * this.computeFactor(index, expert, now);
        const noise = SAMPLE_NOISE * Math.sqrt(value) * this.drawNormal();
        return Math.max(0, value + noise);
      }),
    );
  }

  private createZipfPopularity(): number[] {
    const { experts } = this.options;
    const values = Array.from({ length: experts }, (_, rank) => (rank + 1) ** -ZIPF_EXPONENT);
    const mean = values.reduce((sum, value) => sum + value, 0) / experts;
    for (let index = experts - 1; index > 0; index -= 1) {
      const other = Math.floor(this.random() * (index + 1));
      [values[index], values[other]] = [values[other] ?? 0, values[index] ?? 0];
    }
    return values.map((value) => value / mean);
  }

  private advanceDrift(hours: number): void {
    const deviation = DRIFT_PER_HOUR * Math.sqrt(hours);
    for (const layer of this.drift) {
      for (const [expert, value] of layer.entries()) {
        layer[expert] = value * (1 - DRIFT_RETURN_PER_HOUR * hours) + deviation * this.drawNormal();
      }
    }
  }

  private computeFactor(layer: number, expert: number, now: number): number {
    if (this.options.steady) return 1;
    const angle = (2 * Math.PI * now) / DAY_MS + (this.phase[layer]?.[expert] ?? 0);
    const inBurst = now >= BURST_START_MS && now < BURST_START_MS + BURST_MS;
    const burst = inBurst && this.burst[layer]?.has(expert) === true ? BURST_FACTOR : 1;
    return Math.exp((this.drift[layer]?.[expert] ?? 0) + DAY_AMPLITUDE * Math.sin(angle)) * burst;
  }

  private drawNormal(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.random()));
    return radius * Math.cos(2 * Math.PI * this.random());
  }
}
