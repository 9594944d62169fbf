import { createAccountLimiter, type AccountLimiter } from '@laburnumshift/limit-accounts';
import type { Logger } from '@laburnumshift/logger';
import { findHome } from '@laburnumshift/rank-homes';
import type { AccountLimits, Config, Membership, NodeMesh } from '@laburnumshift/types';

const ASK_TIMEOUT_MS = 500;
/** Limits of an account that is no longer configured while its last requests run. */
const NO_LIMITS: AccountLimits = { requestsPerSecond: 0, tokensPerSecond: 0, concurrent: 0 };

/** Creates the account limiter of a node. It requests the share of each account from the home node of the account. */
export function createLimiter(
  mesh: NodeMesh,
  membership: Membership,
  getConfig: () => Config | undefined,
  logger: Logger,
): AccountLimiter {
  return createAccountLimiter({
    host: membership.getSelf().host,
    getLimits: (account) => getConfig()?.accounts[account]?.limits ?? NO_LIMITS,
    countLiveNodes: () => membership.listLiveMembers().length,
    askShare: async (request) => {
      const home =
        findHome(`account/${request.account}`, membership.listLiveMembers()) ?? membership.getSelf();
      const answer = await mesh.callNode(home.address, 'share', request, ASK_TIMEOUT_MS);
      return answer.ok ? answer.value : undefined;
    },
    onError: (error) => {
      logger.warn('failed to refresh the account shares', { detail: String(error) });
    },
  });
}
