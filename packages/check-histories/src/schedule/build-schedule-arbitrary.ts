import fc from 'fast-check';
import type { FaultName } from '../faults/fault-name.js';
import type { Schedule } from './schedule.js';
import { SCHEDULE_TIMES } from './schedule-times.js';

const LARGE = 1_000;
const LONGEST_RESEND_MS = 1_500;

/** Builds the generator of schedules in which the given faults occur, each once or twice. */
export function buildScheduleArbitrary(faults: readonly FaultName[]): fc.Arbitrary<Schedule> {
  const { traffic, lastLeaving, lastFault, longestFault, lastPublication } = SCHEDULE_TIMES;
  const number = fc.nat(LARGE);
  const resend = fc.record({ afterMs: fc.nat(LONGEST_RESEND_MS), node: number });
  const buildFault = (name: FaultName): fc.Arbitrary<Schedule['faults']> =>
    fc.array(
      fc.record({
        atMs: fc.nat(lastFault),
        durationMs: fc.integer({ min: 100, max: longestFault }),
        name: fc.constant(name),
        target: number,
      }),
      { minLength: 1, maxLength: 2, size: 'max' },
    );
  return fc.noBias(
    fc.record({
      completions: fc.array(
        fc.record({
          atMs: fc.nat(traffic),
          account: number,
          node: number,
          service: number,
          prompt: number,
          maxTokens: fc.integer({ min: 1, max: 24 }),
          sharedId: fc.nat(3).map((draw) => draw === 0),
          resend: fc.option(resend),
        }),
        { minLength: 10, maxLength: 60, size: 'max' },
      ),
      bookings: fc.array(
        fc.record({
          atMs: fc.nat(traffic),
          account: number,
          node: number,
          service: number,
          resends: fc.array(resend, { maxLength: 2, size: 'max' }),
        }),
        { minLength: 5, maxLength: 25, size: 'max' },
      ),
      publications: fc.array(
        fc.record({
          atMs: fc.nat(lastPublication),
          change: fc.constantFrom('weights', 'share', 'accounts', 'rollback'),
          target: number,
        }),
        { maxLength: 4, size: 'max' },
      ),
      restarts: fc.array(fc.record({ atMs: fc.nat(lastFault), node: number }), { maxLength: 1, size: 'max' }),
      leavings: fc.array(
        fc.record({
          atMs: fc.nat(lastLeaving),
          target: number,
          by: fc.constantFrom('list', 'server'),
        }),
        { maxLength: 2, size: 'max' },
      ),
      faults: fc.tuple(...faults.map(buildFault)).map((lists) => lists.flat()),
    }),
  );
}
