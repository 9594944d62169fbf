import { createPlatformClient } from '@laburnumshift/call-platform';
import { readMonotonicMs, sleep } from '@laburnumshift/clock';
import { publishConfig, rollbackConfig, type PublishResult } from '@laburnumshift/publish-config';
import type { PlatformClient } from '@laburnumshift/types';
import type { Schedule } from '../schedule/schedule.js';
import { buildSegments } from './build-segments.js';
import type { ConfigValues } from './config-values.js';
import { FIRST_VALUES } from './first-values.js';
import type { RunContext } from './run-context.js';

type Change = Schedule['publications'][number];

/** The first generations, to which operators roll back. */
const ROLLBACK_GENERATIONS = 3;

/** Folder and values that a change publishes. */
const CHANGES: Readonly<
  Record<
    Exclude<Change['change'], 'rollback'>,
    (target: number) => {
      readonly scope: 'accounts' | 'stories' | 'desks';
      readonly values: Partial<ConfigValues>;
    }
  >
> = {
  weights: (target) => ({ scope: 'stories', values: { weightVersion: `v${String((target % 3) + 1)}` } }),
  share: (target) => ({ scope: 'desks', values: { olderShare: (target % 5) / 4 } }),
  accounts: (target) => ({ scope: 'accounts', values: { accountWeight: (target % 7) + 1 } }),
};

/** Runs the operators of a schedule, each with a platform client of its own, so that they race. */
export async function runOperators(context: RunContext, schedule: Schedule): Promise<void> {
  await Promise.all(
    schedule.publications.map(async (step, index) => {
      await sleep(step.atMs);
      const operator = `operator-${String(index)}`;
      const platform = createPlatformClient({
        url: context.site.platform.url,
        writesPerSecond: 50,
        readsPerSecond: 100,
      });
      const startMs = readMonotonicMs();
      const result = await applyChange(context, platform, step, operator);
      context.publications.push({ operator, startMs, endMs: readMonotonicMs(), result });
      platform.close();
    }),
  );
}

function applyChange(
  { site }: RunContext,
  platform: PlatformClient,
  { change, target }: Change,
  author: string,
): Promise<PublishResult> {
  if (change === 'rollback') return rollbackConfig(platform, 1 + (target % ROLLBACK_GENERATIONS), author);
  const { scope, values } = CHANGES[change](target);
  const next = { ...FIRST_VALUES, ...values };
  const segment = buildSegments(next, site.addresses, site.older.url)[scope];
  return publishConfig(platform, { segments: [segment], author, scope });
}
