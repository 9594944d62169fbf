import type { ProbeResult } from '@laburnumshift/forward-types';
import type { StallReport } from './stall-report.js';
import type { StalledCallInput } from './stalled-call-input.js';

/** Number of consecutive reports that must agree: one answer may be lost, and reports are some hundred milliseconds old. */
const MIN_AGREEING_REPORTS = 2;
/** Number of consecutive polls without an answer, about 2.5 s: a sound server may fall silent for a second or so. */
const MIN_SILENT_REPORTS = 3;
/**
 * Time that reports without the call must span before a call that cannot be sent again is abandoned, milliseconds: the reports of a
 * server that resumes after a silence are older than the calls that it reads.
 */
const MIN_ABSENCE_MS = 1000;

type AliveReport = Extract<ProbeResult, { kind: 'alive' }>;

/** True when the report lists every running call of the server. */
const isRunListComplete = ({ running, runs }: AliveReport): boolean =>
  runs !== undefined && runs.size === running;
const isCallAbsent = (report: ProbeResult, callId: string): boolean =>
  report.kind === 'alive' &&
  report.waiting === 0 &&
  (report.running === 0 || (isRunListComplete(report) && report.runs?.has(callId) === false));
/** Returns the time that the last reports without the call span, milliseconds; `undefined` when there are too few of them. */
const computeAbsenceMs = (reports: readonly StallReport[], callId: string): number | undefined => {
  const firstIndex = reports.findLastIndex(({ result }) => !isCallAbsent(result, callId)) + 1;
  const absent = reports.slice(firstIndex);
  const [first] = absent;
  const last = absent.at(-1);
  return first === undefined || last === undefined || absent.length < MIN_AGREEING_REPORTS
    ? undefined
    : last.atMs - first.atMs;
};

/**
 * Returns the reason to abandon a call that makes no progress, or `undefined` to keep waiting. A call is kept when its server was
 * unresponsive only for a while, has a long queue, or processes a long prompt. Silence alone is a reason only when another attempt can
 * follow: a call that cannot be sent again gains nothing from an earlier end, and its server may still answer.
 */
export function checkStalledCall(input: StalledCallInput): string | undefined {
  const { callId, silentMs, canRetry, stallTimeoutMs, reports } = input;
  const results = reports.map(({ result }) => result);
  const latest = results.slice(-MIN_AGREEING_REPORTS);
  if (latest.at(-1)?.kind === 'gone') return 'another process answers at the address of the server';
  const silent = results.slice(-MIN_SILENT_REPORTS).filter(({ kind }) => kind === 'silent');
  if (canRetry && silent.length === MIN_SILENT_REPORTS) return 'the server does not answer';
  const alive = latest.filter((report): report is AliveReport => report.kind === 'alive');
  if (alive.length < MIN_AGREEING_REPORTS) return undefined;
  const absenceMs = computeAbsenceMs(reports, callId);
  if (absenceMs !== undefined)
    return canRetry || absenceMs >= MIN_ABSENCE_MS ? 'the server does not have the call any more' : undefined;
  if (alive.some((report) => !isRunListComplete(report)))
    return canRetry && silentMs >= stallTimeoutMs ? 'no progress' : undefined;
  const [earlierCount, latestCount] = alive.map(({ runs }) => runs?.get(callId));
  const hasUndeliveredEvents =
    earlierCount !== undefined && latestCount !== undefined && latestCount > earlierCount;
  return hasUndeliveredEvents && canRetry
    ? 'the connection is silent while the server makes events'
    : undefined;
}
