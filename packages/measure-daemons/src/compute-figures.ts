import { computeSummary } from './compute-summary.js';
import { computeUnfairness } from './compute-unfairness.js';
import type { Deployment } from './deployment.js';
import type { RequestRecord } from './request-record.js';
import type { RunFigures } from './run-figures.js';
import type { SiteReport } from './site-report.js';

/** Times of the first requests say little: caches are empty and conversations are not yet under way. */
const WARMUP_MS = 8_000;
const BYTES_PER_GB = 1e9;
const MS_PER_S = 1_000;
const MAX_REASONS = 10;

/** Computes the figures of a run from the records of the load tool and the counters of the fakes. */
export function computeFigures(
  deployment: Deployment,
  records: readonly RequestRecord[],
  report: SiteReport,
): RunFigures {
  const { prefillTokensPerSecond } = deployment;
  const measured = records.filter(({ request }) => request.atMs >= WARMUP_MS);
  const completions = measured.filter(({ request }) => request.kind.kind === 'completion');
  const interactive = completions.filter(({ request }) => request.kind.priority !== 'bulk');
  const bounds = interactive.map((record) => ({
    ...record,
    firstTokenMs: (record.request.newTokens / prefillTokensPerSecond) * MS_PER_S,
  }));
  const newTokens = records.reduce((sum, { request }) => sum + request.newTokens, 0);
  const { computedTokens, cachedTokens, importedTokens, runs } = report;
  const tokens = Math.max(1, computedTokens + cachedTokens + importedTokens);
  const refusals: Record<string, number> = {};
  for (const code of records.flatMap((record) => record.refusals)) refusals[code] = (refusals[code] ?? 0) + 1;
  const cuts = records.flatMap((record) =>
    record.cuts.map((detail) => `${record.request.id} ${record.request.kind.service}: ${detail}`),
  );
  const bookings = records.filter(({ request }) => request.kind.hasKey === true);
  return {
    services: Object.fromEntries(
      deployment.classes.map(({ service }) => [
        service,
        computeSummary(measured.filter(({ request }) => request.kind.service === service)),
      ]),
    ),
    interactive: computeSummary(interactive),
    urgent: computeSummary(interactive.filter(({ request }) => request.kind.priority === 'urgent')),
    lowerBoundP95Ms: computeSummary(bounds).p95,
    shareRecomputed: Math.max(0, computedTokens - newTokens) / tokens,
    shareCached: cachedTokens / tokens,
    shareImported: importedTokens / tokens,
    linkGigabytes: report.linkBytes / BYTES_PER_GB,
    peakLinkUse: report.peakLinkUse,
    requests: records.length,
    failed: records
      .filter((record) => !record.finished)
      .map(
        ({ request, refusals: codes, cuts: details }) =>
          `${request.id} ${request.kind.service}: ${[...codes, ...details].join(', ')}`,
      ),
    refusals,
    cutAnswers: cuts.length,
    cutReasons: cuts.slice(0, MAX_REASONS),
    resends: records.reduce((sum, { attempts }) => sum + Math.max(0, attempts - 1), 0),
    repeatedBookings: bookings.filter(({ request }) => (runs[`key-${request.id}`] ?? 0) > 1).length,
    lostBookings: bookings.filter((r) => r.finished && runs[`key-${r.request.id}`] === undefined).length,
    foreignAnswers: report.foreignAnswers,
    unfairness: computeUnfairness(interactive, prefillTokensPerSecond),
    platformCalls: report.platformCalls,
  };
}
