import type { ProbeResult } from '@laburnumshift/forward-types';
import type { StalledCallInput } from './stalled-call-input.js';

/** Number of consecutive reports that must agree: one answer may be lost, and reports are some hundred milliseconds old. */
const MIN_AGREEING_REPORTS = 2;

type AliveReport = Extract<ProbeResult, { kind: 'alive' }>;

/** True when the report lists every running call of the server. */
const isRunListComplete = ({ running, runs }: AliveReport): boolean =>
  runs !== undefined && runs.size === running;
const isCallAbsent = (report: AliveReport, callId: string): boolean =>
  report.waiting === 0 &&
  (report.running === 0 || (isRunListComplete(report) && report.runs?.has(callId) === false));

/**
 * Returns the reason to abandon a call that makes no progress, or `undefined` to keep waiting. A call is kept when its server was
 * unresponsive only for a while, has a long queue, or processes a long prompt: work in progress is neither abandoned nor repeated
 * on another server.
 */
export function checkStalledCall(input: StalledCallInput): string | undefined {
  const { callId, silentMs, isRetryable, stallTimeoutMs } = input;
  const latest = input.reports.slice(-MIN_AGREEING_REPORTS);
  if (latest.at(-1)?.kind === 'gone') return 'another process answers at the address of the server';
  if (latest.length < MIN_AGREEING_REPORTS) return undefined;
  if (latest.every(({ kind }) => kind === 'silent')) return 'the server does not answer';
  const alive = latest.filter((report): report is AliveReport => report.kind === 'alive');
  if (alive.length < latest.length) return undefined;
  const eventCounts = alive.map(({ runs }) => runs?.get(callId));
  if (alive.every((report) => isCallAbsent(report, callId)))
    return 'the server does not have the call any more';
  if (alive.some((report) => !isRunListComplete(report)))
    return isRetryable && silentMs >= stallTimeoutMs ? 'no progress' : undefined;
  const [earlierCount, latestCount] = eventCounts;
  const hasUndeliveredEvents =
    earlierCount !== undefined && latestCount !== undefined && latestCount > earlierCount;
  return hasUndeliveredEvents && isRetryable
    ? 'the connection is silent while the server makes events'
    : undefined;
}
