import {
  chooseMoveTarget,
  decideMove,
  decideMoveStep,
  type MoveInput,
  type MoveStepInput,
} from '@laburnumshift/continue-runs';
import test from 'ava';

const INPUT: MoveInput = {
  isSourceLeaving: true,
  isRepeatable: false,
  elapsedMs: 400,
  expectedRunMs: 2000,
  remainingMs: 8000,
  silentMs: 30,
  eventPauseMs: 25,
};
const decideReason = (changes: Partial<MoveInput>) => decideMove({ ...INPUT, ...changes })?.reason;

test('a run is not left at an engine that leaves', (t) => {
  t.is(decideReason({}), 'leaving');
  t.is(
    decideReason({ expectedRunMs: 300, elapsedMs: 2000 }),
    'leaving',
    'a run that is longer than expected',
  );
});

test('a run that ends before its engine does is not moved', (t) => {
  t.is(decideReason({ expectedRunMs: 500, elapsedMs: 300 }), undefined);
  t.is(decideReason({ remainingMs: 200 }), undefined);
});

test('a run at a sound engine is not moved for a usual pause', (t) => {
  t.is(decideReason({ isSourceLeaving: false, silentMs: 1200 }), undefined);
  t.is(decideReason({ isSourceLeaving: false, silentMs: undefined }), undefined);
  t.is(decideReason({ isSourceLeaving: false, silentMs: 1600, eventPauseMs: 400 }), undefined);
  t.is(decideReason({ isSourceLeaving: false, silentMs: 1600 }), 'lagging');
});

test('a move that costs more than the loss that it avoids is not made', (t) => {
  const input = {
    tokens: 12_000,
    source: { id: 'a', machine: '10.0.0.1', failureDomain: 'north' },
    version: 1,
    capacityTokens: 120_825,
    bytesPerToken: 163_840,
    linkMbps: 370_000,
    candidates: [
      {
        id: 'b',
        machine: '10.0.0.2',
        failureDomain: 'south',
        version: 1,
        heldTokens: 0,
        isAtRisk: false,
        copies: 0,
      },
    ],
  };
  t.is(
    chooseMoveTarget(input, decideMove({ ...INPUT, isRepeatable: true, elapsedMs: 100 })?.gainMs ?? 0),
    undefined,
  );
  t.is(chooseMoveTarget(input, decideMove(INPUT)?.gainMs ?? 0)?.id, 'b');
});

const STEPS: readonly (readonly [
  name: string,
  changes: Partial<MoveStepInput>,
  step: ReturnType<typeof decideMoveStep>,
])[] = [
  ['a run is not stopped before its memory was copied', { answer: 'copied' }, 'stop'],
  ['a full target is not asked again', { answer: 'no-capacity' }, 'other-target'],
  ['a copy in progress is waited for', { answer: 'busy' }, 'again'],
  ['a copy without an answer is not asked for without end', { answer: 'lost', tries: 4 }, 'give-up'],
  ['a stopped run is not left', { phase: 'stop', answer: 'copied' }, 'at-target'],
  [
    'a stopped run whose target became full is not left',
    { phase: 'stop', answer: 'no-capacity', isKeptAtSource: true },
    'at-source',
  ],
  ['a lost answer to the stop is not taken for a stop', { phase: 'stop', answer: 'lost' }, 'again'],
  ['the stop is not asked for without end', { phase: 'stop', answer: 'lost', tries: 6 }, 'give-up'],
  [
    'a run that its engine does not have any more is not waited for',
    { phase: 'stop', answer: 'no-run' },
    'stopped',
  ],
];
for (const [name, changes, step] of STEPS) {
  test(name, (t) => {
    const input: MoveStepInput = {
      phase: 'copy',
      answer: 'copied',
      isKeptAtSource: false,
      tries: 1,
      ...changes,
    };
    t.is(decideMoveStep(input), step);
  });
}
