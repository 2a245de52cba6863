import type { Deployment } from '../deployment/deployments.ts';
import { zone } from '../deployment/deployments.ts';
import { FaultScenario } from './types.ts';

/** Differs from the octets of the demo, which may run at the same time. */
const FIRST_SCENARIO_OCTET = 30;
const DEMO_BASE_PORT = 18_000;

/** Creates a small deployment with its own addresses for each scenario. */
export function faultDeployment(scenario: FaultScenario, basePort: number): Deployment {
  return {
    name: scenario,
    octet: FIRST_SCENARIO_OCTET + Object.values(FaultScenario).indexOf(scenario),
    portOffset: basePort - DEMO_BASE_PORT,
    regions: ['near', 'far'],
    zones: [zone('near', 'a', [2, 1, 1]), zone('near', 'b', [2, 1, 0]), zone('far', 'a', [2, 1, 0])],
    modelServiceId: 'assistant',
    model: 'assistant-small',
    plainServiceId: 'orders',
    orderPath: '/orders',
    lookupPath: '/stock',
    honoursKey: false,
    linkDelayMs: 8,
  };
}
