import { readMonotonicMs, sleep } from '@laburnumshift/clock';
import { askNode } from './ask-node.js';

const POLL_MS = 500;

/** The names of the nodes that have a generation in force and of those that do not. */
interface GenerationReport {
  readonly inForce: readonly string[];
  readonly missing: readonly string[];
  /** The reason why the status could not be read; absent if it was read. */
  readonly detail?: string;
}

const readReport = (body: unknown, generation: number): GenerationReport => {
  const nodes = (body as { nodes?: unknown } | null)?.nodes;
  if (!Array.isArray(nodes)) return { inForce: [], missing: [], detail: 'the status names no nodes' };
  const entries = nodes as { readonly host?: unknown; readonly generation?: unknown }[];
  const hasGeneration = (entry: (typeof entries)[number]): boolean =>
    typeof entry.generation === 'number' && entry.generation >= generation;
  const toName = (entry: (typeof entries)[number]): string => String(entry.host);
  return {
    inForce: entries.filter(hasGeneration).map(toName),
    missing: entries.filter((entry) => !hasGeneration(entry)).map(toName),
  };
};

/**
 * Polls the status of all nodes through one node until each has the generation or newer, and returns the last report. Polls
 * at least once and starts no further poll after `boundMs` milliseconds; the last poll may exceed the bound by the timeout
 * of `askNode`.
 */
export async function waitForGeneration(
  node: string,
  token: string | undefined,
  generation: number,
  boundMs: number,
): Promise<GenerationReport> {
  const deadlineAt = readMonotonicMs() + boundMs;
  for (;;) {
    const answer = await askNode(node, token, 'GET', '/status');
    const report =
      answer.kind === 'unreachable'
        ? { inForce: [], missing: [], detail: answer.detail }
        : answer.status === 200
          ? readReport(answer.body, generation)
          : { inForce: [], missing: [], detail: `the node answered with status ${String(answer.status)}` };
    const isComplete = report.detail === undefined && report.missing.length === 0;
    if (isComplete || readMonotonicMs() + POLL_MS > deadlineAt) return report;
    await sleep(POLL_MS);
  }
}
