/** Value of one figure at one size. */
export type Point = readonly [size: number, figure: number];

export interface FittedLine {
  readonly points: readonly Point[];
  readonly slope: number;
  readonly start: number;
  /** Root mean square error of the fit, in the unit of the figure. */
  readonly residual: number;
  /** False when the residual is more than a tenth of the figures' range. */
  readonly is_line: boolean;
}

const MAX_RELATIVE_RESIDUAL = 0.1;

/**
 * Fits a line by least squares.
 *
 * @param points - At least three points with different sizes
 * @returns Slope, value at size 0 and residual
 */
export function computeLine(points: readonly Point[]): FittedLine {
  const count = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
  const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  const slope = covariance / variance;
  const start = meanY - slope * meanX;
  const squaredError = points.reduce((sum, [x, y]) => sum + (y - start - slope * x) ** 2, 0);
  const residual = Math.sqrt(squaredError / count);
  const figures = points.map(([, y]) => y);
  const range = Math.max(...figures) - Math.min(...figures);
  return { points, slope, start, residual, is_line: residual <= MAX_RELATIVE_RESIDUAL * range };
}
