import { execFile, execFileSync } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import { rootDirectory } from '../../test/support/processes.js';
import type { FittedLine, Point } from '../support/fitLine.js';
import { computeLine } from '../support/fitLine.js';
import { seriesSizes } from '../support/librarySeries.js';
import { measurePathSeries } from '../support/pathSeries.js';
import type { RunOptions, RunResult } from '../types.js';

const SIGNIFICANT_DIGITS = 4;
const program = fileURLToPath(new URL('../support/librarySeries.ts', import.meta.url));
const execute = promisify(execFile);

/** Figures measured at one size. */
type Figures = Readonly<Record<string, number>>;

/**
 * Measures memory, CPU time and bytes at several sizes and fits a line to each figure.
 *
 * @param options - Seed of the prompts; number of rounds, whose median is used for each figure
 * @returns Points, slope, start and residual by series and figure; the names contain the units
 */
export async function benchSlopes({ seed, count }: RunOptions): Promise<RunResult> {
  const result: Record<string, Record<string, unknown>> = {};
  for (const [name, sizes] of Object.entries(seriesSizes)) {
    const measured: (readonly [number, Figures])[] = [];
    for (const size of sizes) {
      const rounds: Figures[] = [];
      for (let round = 0; round < count; round += 1)
        rounds.push(await measureInProcess(name, size));
      measured.push([size, computeMedians(rounds)]);
    }
    result[name] = fitFigures(measured);
  }
  execFileSync('npm', ['run', 'build', '--silent'], { cwd: rootDirectory, stdio: 'inherit' });
  const path = await measurePathSeries(seed);
  for (const [name, lines] of Object.entries(path)) result[name] = fitFigures(lines);
  return { unit: 'figures are totals of the size; slopes are per unit of size', ...result };
}

async function measureInProcess(name: string, size: number): Promise<Figures> {
  const args = ['--expose-gc', '--import', 'tsx', program, name, String(size)];
  const { stdout } = await execute(process.execPath, args, { cwd: rootDirectory });
  return JSON.parse(stdout) as Figures;
}

function computeMedians(rounds: readonly Figures[]): Figures {
  const medians: Record<string, number> = {};
  for (const figure of Object.keys(rounds[0] ?? {})) {
    const values = rounds.map((round) => round[figure] ?? 0).sort((left, right) => left - right);
    medians[figure] = values[Math.floor(values.length / 2)] ?? 0;
  }
  return medians;
}

function fitFigures(measured: readonly (readonly [number, Figures])[]): Record<string, FittedLine> {
  const lines: Record<string, FittedLine> = {};
  for (const figure of Object.keys(measured[0]?.[1] ?? {})) {
    const points = measured.map(([size, figures]): Point => [size, figures[figure] ?? 0]);
    lines[figure] = formatLine(computeLine(points));
  }
  return lines;
}

function formatLine(line: FittedLine): FittedLine {
  const round = (value: number): number => Number(value.toPrecision(SIGNIFICANT_DIGITS));
  return {
    points: line.points.map(([size, figure]): Point => [round(size), round(figure)]),
    slope: round(line.slope),
    start: round(line.start),
    residual: round(line.residual),
    is_line: line.is_line,
  };
}
