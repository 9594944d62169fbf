import type { OperatorHandlers } from '@laburnumshift/serve-operators';
import type { Member, RequestTrace } from '@laburnumshift/types';
import { buildNodeStatus } from './build-node-status.js';
import type { NodeParts } from './node-parts.js';

const ASK_TIMEOUT_MS = 1_500;

/**
 * Creates the handlers of the server for operators. Status and traces are collected from all live nodes. A node that does not
 * answer within 1.5 s is listed as unreachable in the status and contributes no traces.
 */
export function createOperatorHandlers(
  parts: NodeParts,
  isReady: () => boolean,
  drainNode: () => void,
): OperatorHandlers {
  const { membership, mesh, traces, journal, metrics } = parts;
  const listOthers = (): readonly Member[] => {
    const { host } = membership.getSelf();
    return membership.listLiveMembers().filter((member) => member.host !== host);
  };
  const askStatus = async (member: Member): Promise<unknown> => {
    const answer = await mesh.callNode(member.address, 'status', null, ASK_TIMEOUT_MS);
    return answer.ok ? answer.value : { host: member.host, unreachable: answer.error.kind };
  };
  const askTraces = async (member: Member, requestId: string): Promise<readonly RequestTrace[]> => {
    const answer = await mesh.callNode(member.address, 'explain', { requestId }, ASK_TIMEOUT_MS);
    return answer.ok ? answer.value : [];
  };
  return {
    isHealthy: () => true,
    isReady,
    readMetrics: () => metrics.renderMetrics(),
    readStatus: async () => ({
      nodes: [buildNodeStatus(parts), ...(await Promise.all(listOthers().map(askStatus)))],
    }),
    explainRequest: async (requestId) => [
      ...traces.findTraces(requestId),
      ...(await Promise.all(listOthers().map((member) => askTraces(member, requestId)))).flat(),
    ],
    readOutcome: async (account, service, key) => {
      const decision = await journal.findCall({ account, service, key });
      return decision.kind === 'absent' ? undefined : decision;
    },
    drainNode,
  };
}
