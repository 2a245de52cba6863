import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ENGINES, RequestBench } from '../../requests/__tests__/requestBench.ts';
import { EffectKind } from '../../types/effects.ts';
import { EventKind } from '../../types/events.ts';
import { VmRole, VmState } from '../../types/membership.ts';

const [ADDRESS = ''] = ENGINES;
const LOAD = { runningCount: 0, queuedCount: 0, leaving: false, ageMs: 0, cachedPrefixHashes: [] };

function probeWithLoad(bench: RequestBench, overrides: Partial<typeof LOAD>): boolean | undefined {
  bench.advance(500);
  const { callId } =
    bench.ofKind(EffectKind.UpstreamProbe).findLast((effect) => effect.address === ADDRESS) ?? {};
  assert.ok(callId !== undefined);
  bench.send({ kind: EventKind.UpstreamProbed, callId, address: ADDRESS, load: { ...LOAD, ...overrides } });
  return bench.core.board.routing.upstreams.get(ADDRESS)?.leaving;
}

test('a report marks an engine as leaving, and only a newer report clears it', () => {
  const bench = new RequestBench(true, 500);
  assert.equal(probeWithLoad(bench, {}), false);
  assert.equal(probeWithLoad(bench, { leaving: true }), true);
  assert.equal(probeWithLoad(bench, { ageMs: 5_000 }), true);
  assert.equal(probeWithLoad(bench, {}), false);
});

test('an engine that is listed as leaving stays so whatever it reports', () => {
  const bench = new RequestBench(true, 500);
  const vm = { vmId: 'vm-e', address: ADDRESS, role: VmRole.Engine, state: VmState.Leaving };
  const row = { ...vm, region: 'near', availabilityZone: 'near-a' };
  bench.core.board.membership.vms = new Map([['vm-e', row]]);
  assert.equal(probeWithLoad(bench, {}), true);
  bench.chat();
  assert.notEqual(bench.open(0).address, ADDRESS);
});

// Guards against a stream that starts on a leaving engine between two probes.
test('routing applies a membership list that was read since the last probes', () => {
  const bench = new RequestBench(true, 500);
  bench.advance(500);
  const vm = { vmId: 'vm-e', address: ADDRESS, role: VmRole.Engine, state: VmState.Leaving };
  const row = { ...vm, region: 'near', availabilityZone: 'near-a' };
  const { membership } = bench.core.board;
  membership.vms = new Map([['vm-e', row]]);
  membership.listReadAtMs = 1;
  for (let count = 0; count < 8; count += 1) {
    bench.chat();
    const { address, attemptId } = bench.open(count);
    assert.notEqual(address, ADDRESS);
    bench.finish(attemptId, 0);
  }
});

// Guards against probes that exceed the bandwidth for control traffic.
test('probes many engines in round-robin order', () => {
  const bench = new RequestBench(true, 500);
  bench.addEngines(...Array.from({ length: 28 }, (_, index) => `127.1.1.${index + 1}:8400`));
  bench.advance(500);
  assert.equal(bench.ofKind(EffectKind.UpstreamProbe).length, 12);
  bench.advance(1_000);
  assert.equal(new Set(bench.ofKind(EffectKind.UpstreamProbe).map(({ address }) => address)).size, 30);
});
