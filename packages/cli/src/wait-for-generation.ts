import { readMonotonicMs, sleep } from '@laburnumshift/clock';
import { askNode } from './ask-node.js';

const POLL_MS = 500;

/** Which nodes have a generation in force. */
interface NodeReport {
  readonly inForce: readonly string[];
  readonly missing: readonly string[];
  /** Why the nodes could not be asked, if so. */
  readonly detail?: string;
}

const readReport = (body: unknown, generation: number): NodeReport => {
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

/** Asks one node for the status of all until each has the generation or the bound has passed; reports the last answer. */
export async function waitForGeneration(
  node: string,
  token: string | undefined,
  generation: number,
  boundMs: number,
): Promise<NodeReport> {
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
