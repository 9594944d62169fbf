import test from 'ava';
import { createNodeMesh } from '@laburnumshift/call-node';
import { detectMembers } from '@laburnumshift/detect-members';
import { waitFor } from '@laburnumshift/test-utils';

// The simulation does not encode messages as real links do. Probes with an invalid body must be refused without a change of
// the member list.
test('over real links, members find each other, refuse invalid probes and detect a closed member', async (t) => {
  const secret = 'a shared secret of nodes';
  const meshes = await Promise.all([0, 1, 2].map(() => createNodeMesh({ listen: '127.0.0.1:0', secret })));
  const seeds = meshes.slice(0, 1).map((mesh) => mesh.getAddress());
  const views = meshes.map((mesh, i) =>
    detectMembers({
      self: { host: `n${String(i)}`, incarnation: 1, failureDomain: 'a', address: mesh.getAddress() },
      mesh,
      listHosts: () => Promise.resolve(undefined),
      seeds,
      randomSeed: i,
    }),
  );
  await waitFor('all members', () => views.every((view) => view.listLiveMembers().length === 3));
  const address = meshes[1]?.getAddress() ?? '';
  for (const body of [null, 7, { records: [] }, { records: [{ host: 1 }] }]) {
    const refused = await meshes[0]?.callNode(address, 'probe', body, 5_000);
    t.like(refused, { ok: false, error: { kind: 'refused', detail: 'the body of the probe is not valid' } });
  }
  views[2]?.close();
  await meshes[2]?.close();
  await waitFor('the closed member to be removed', () =>
    views.slice(0, 2).every((v) => v.listLiveMembers().length === 2),
  );
  t.deepEqual(
    views[0]?.listLiveMembers().map((m) => m.host),
    ['n0', 'n1'],
  );
  for (const view of views) view.close();
  await Promise.all(meshes.slice(0, 2).map((mesh) => mesh.close()));
});
