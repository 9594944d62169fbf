import { parseAddress } from '@laburnumshift/addresses';
import { isUsableServer } from '@laburnumshift/choose-server';
import type { TargetInput } from '@laburnumshift/continue-runs';
import type { ForwardService, PromptMetadata } from '@laburnumshift/forward-types';
import type { EngineChoice } from './engine-choice.js';
import { estimateOutputTokens } from './estimate-output-tokens.js';
import type { ForwarderDependencies } from './forwarder-dependencies.js';
import { isAtRisk } from './is-at-risk.js';

const describeServer = ({ id, address, failureDomain }: EngineChoice['server']) => ({
  id,
  machine: parseAddress(address).host,
  failureDomain,
});

/** Builds the input of the choice of an engine for the memory of a run, from what this host knows. */
export function buildTargetInput(
  deps: ForwarderDependencies,
  service: ForwardService & { readonly engine: NonNullable<ForwardService['engine']> },
  prompt: PromptMetadata,
  choice: EngineChoice,
  excluded: ReadonlySet<string>,
): TargetInput {
  const servers = deps.fleet
    .listBackends(service.name)
    .filter(
      (server) =>
        server.id !== choice.server.id &&
        !excluded.has(server.id) &&
        isUsableServer(deps, server, { model: prompt.model, version: choice.version }) &&
        deps.limits.hasRoom(server),
    );
  const { capacityTokens, bytesPerToken, linkMbps } = service.engine;
  return {
    tokens: prompt.inputTokens + estimateOutputTokens(prompt),
    source: describeServer(choice.server),
    version: choice.version,
    capacityTokens,
    bytesPerToken,
    linkMbps,
    candidates: servers.map((server) => ({
      ...describeServer(server),
      version: server.versions.get(prompt.model),
      heldTokens:
        deps.serverTracker.getState(server.id).heldTokens +
        deps.sharing.getLoadOfOthers(server.id).heldTokens,
      isAtRisk: isAtRisk(deps, server.id),
      copies: deps.runCopies.copies.countAt(server.id),
    })),
  };
}
