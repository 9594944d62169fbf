import { describePlace } from './describe-place.js';
import { formatMs } from './format-ms.js';
import { formatValue as format } from './format-value.js';
import type { StepDetail } from './step-detail.js';

const JOURNAL_TEXT_BY_KIND: Readonly<Record<string, string>> = {
  run: 'the journal recorded the start; the call may be dispatched once',
  finished: 'the journal has the answer of an earlier attempt; it is returned and nothing runs',
  'in-progress': 'another attempt with this key is in progress',
  unknown: 'an earlier attempt may have run; the call is not repeated',
  'body-differs': 'the key was used before with another body',
  expired: 'the key is older than the journal keeps records',
  absent: 'the journal does not know the key',
  unavailable: 'the journal cannot be written; nothing was dispatched',
};

const DESCRIBE_BY_STEP: Readonly<Record<string, (detail: StepDetail) => readonly string[]>> = {
  place: describePlace,
  finished: ({ engine, tokens, reason }) => [
    `${format(engine)} finished after ${format(tokens)} tokens (${format(reason)})`,
  ],
  'attempt-failed': ({ engine, error, offset }) => [
    `the attempt on ${format(engine)} failed after ${format(offset)} tokens: ${format(error)}`,
  ],
  'engine-probed': ({ engine, state }) => [
    `${format(engine)} was probed after the failure: ${format(state)}`,
  ],
  'probe-failed': ({ reason }) => [`the probe of the engine failed: ${format(reason)}`],
  'version-changed': ({ from, to, offset }) => [
    `no engine has weights ${format(from)} any more; goes on with ${format(to)} at token ${format(offset)}`,
  ],
  quarantine: ({ kind, retryAfterMs }) => [
    kind === 'busy'
      ? `a request with the same content is under suspicion and runs; waits ${formatMs(retryAfterMs)}`
      : kind === 'convicted'
        ? 'refused: requests with this content crashed two engines'
        : 'under suspicion after a crash; runs on an engine without other suspects',
  ],
  cutover: ({ system }) => [`taken by the ${system === 'older' ? 'older' : 'new'} system`],
  'older-failed': ({ error }) => [`the older system failed: ${format(error)}`],
  journal: ({ kind }) => [JOURNAL_TEXT_BY_KIND[format(kind)] ?? `journal: ${format(kind)}`],
  dispatched: ({ server, result }) => [
    typeof result === 'number'
      ? `${format(server)} answered with status ${String(result)}`
      : `${format(server)} gave no answer: ${format(result)}`,
  ],
  'sent to the older system': ({ result }) => [`the older system answered: ${format(result)}`],
  'answer sent before its record': () => [
    'the answer went to the caller before its record was confirmed; a resend may get outcome unknown',
  ],
};

/** Describes a step of a request as lines of text. An unknown step is described by its name and all its members. */
export function describeStep(step: string, detail: StepDetail): readonly string[] {
  const describeKnownStep = Object.hasOwn(DESCRIBE_BY_STEP, step) ? DESCRIBE_BY_STEP[step] : undefined;
  if (describeKnownStep !== undefined) return describeKnownStep(detail);
  const members = Object.entries(detail).filter(([name]) => name !== 'runId');
  return [[step, ...members.map(([name, value]) => `${name} ${format(value)}`)].join(', ')];
}
