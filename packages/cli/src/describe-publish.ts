import { renderFinding } from '@laburnumshift/errors';
import type { PublishResult } from '@laburnumshift/publish-config';
import { match } from 'ts-pattern';
import { buildUnavailableResult } from './build-unavailable-result.js';
import type { CommandResult } from './command-result.js';
import { waitForGeneration } from './wait-for-generation.js';

/** The node to query for the generation that each node has in force, and how long to wait. */
interface RolloutWaitOptions {
  readonly node: string | undefined;
  readonly token: string | undefined;
  readonly waitMs: number;
}

const reportNodeGenerations = async (
  generation: number,
  options: RolloutWaitOptions,
): Promise<CommandResult> => {
  if (options.node === undefined) {
    const text = 'not waited for the nodes; give --node URL to see where it is in force';
    return { result: 'ok', text, value: {} };
  }
  const report = await waitForGeneration(options.node, options.token, generation, options.waitMs);
  const { inForce, missing, detail } = report;
  if (detail !== undefined) {
    return { result: 'unavailable', text: `cannot ask the nodes: ${detail}`, value: { ...report } };
  }
  const lines = [`in force on ${String(inForce.length)} nodes: ${inForce.join(', ')}`];
  if (missing.length > 0) lines.push(`missing on ${String(missing.length)} nodes: ${missing.join(', ')}`);
  return {
    result: missing.length === 0 ? 'ok' : 'unavailable',
    text: lines.join('\n'),
    value: { ...report },
  };
};

/**
 * Describes the result of a publish or rollback. With a node URL, first waits up to `waitMs` until all nodes have the
 * generation in force.
 */
export function describePublish(result: PublishResult, options: RolloutWaitOptions): Promise<CommandResult> {
  return match(result)
    .with({ kind: 'published' }, async ({ head, files }): Promise<CommandResult> => {
      const nodes = await reportNodeGenerations(head.generation, options);
      const changes = files.map(({ file, change }) => `  ${change} ${file}`);
      const { generation, changeId } = head;
      const text = [`published generation ${String(generation)}`, ...changes, nodes.text].join('\n');
      return { result: nodes.result, text, value: { generation, changeId, files, ...nodes.value } };
    })
    .with({ kind: 'unchanged' }, async ({ generation }): Promise<CommandResult> => {
      const nodes = await reportNodeGenerations(generation, options);
      const text = `nothing to change; generation ${String(generation)} stays\n${nodes.text}`;
      return { result: nodes.result, text, value: { generation, files: [], ...nodes.value } };
    })
    .with({ kind: 'refused' }, ({ findings }): Promise<CommandResult> => {
      const text = findings.map(renderFinding).join('\n');
      return Promise.resolve({ result: 'refused', text, value: { findings } });
    })
    .with({ kind: 'unavailable' }, ({ detail }) =>
      Promise.resolve(buildUnavailableResult('platform', detail)),
    )
    .with({ kind: 'unknown' }, ({ changeId, detail }): Promise<CommandResult> => {
      const text =
        `the result is unknown: ${detail}\n` +
        `look for change ${changeId} in the history, or publish again, which changes nothing if it took effect`;
      return Promise.resolve({ result: 'unknown', text, value: { changeId, detail } });
    })
    .exhaustive();
}
