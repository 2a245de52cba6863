import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ModelState } from '../../types/orders.ts';
import type { EngineView } from '../planOrders.ts';
import { planOrders } from '../planOrders.ts';

function view(engineId: string, wanted: string[], models: EngineView['models']): EngineView {
  return {
    engine: {
      engineId,
      address: engineId,
      region: 'near',
      availabilityZone: 'near-a',
      models: wanted,
      maxConcurrent: 1,
      honoursFencing: true,
    },
    models,
  };
}

const summary = (input: Parameters<typeof planOrders>[0]): string[] =>
  planOrders(input).map(({ engine, model, state }) => `${engine.engineId} ${model} ${state}`);

// Guards against loads beyond the rate of the weight store, and against a second engine for one model while another
// model has none.
test('loads stay within the rate limit and go to the model with the fewest engines first', () => {
  const views = [
    view('e1', ['a', 'b'], { a: ModelState.Loaded }),
    view('e2', ['a', 'b'], {}),
    view('e3', ['a'], { a: ModelState.Loading }),
  ];
  const input = { views, serviceModels: ['a', 'b'], availableLoads: 2.9 };
  assert.deepEqual(summary(input), ['e1 b loaded', 'e2 b loaded']);
  assert.deepEqual(summary({ ...input, availableLoads: 0.5 }), []);
});

// Guards against orders to engines whose state is unknown, and against changes to models of other services.
test('unwanted models are unloaded, while unknown engines and other services are left unchanged', () => {
  const views = [
    view('e1', [], { a: ModelState.Loaded, other: ModelState.Loaded }),
    view('e2', ['a'], undefined),
    view('e3', ['a'], { a: ModelState.Unloaded }),
  ];
  const orders = summary({ views, serviceModels: ['a'], availableLoads: 5 });
  assert.deepEqual(orders, ['e1 a unloaded', 'e3 a loaded']);
});
