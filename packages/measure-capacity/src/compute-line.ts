import type { Line } from './line.js';
import type { Point } from './point.js';

/** Fits a line by least squares. A single point gives a constant. */
export function computeLine(points: readonly Point[]): Line {
  const count = Math.max(1, points.length);
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / count;
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / count;
  const spread = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
  const joint = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0);
  const slope = spread === 0 ? 0 : joint / spread;
  const intercept = meanY - slope * meanX;
  const largest = Math.max(Number.MIN_VALUE, ...points.map(({ y }) => Math.abs(y)));
  const error = Math.max(0, ...points.map(({ x, y }) => Math.abs(y - intercept - slope * x) / largest));
  return { slope, intercept, error };
}
