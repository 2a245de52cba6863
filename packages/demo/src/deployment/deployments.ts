/** An availability zone and the number of its processes. */
export interface ZonePlan {
  readonly availabilityZone: string;
  readonly region: string;
  readonly routerCount: number;
  readonly engineCount: number;
  readonly serviceCount: number;
}

/** A simulated deployment: its regions, zones and services. */
export interface Deployment {
  readonly name: string;
  /** Third octet of all addresses of the deployment, so that several deployments can run at the same time. */
  readonly octet: number;
  /** Added to all ports, so that concurrent runs can use different ports. */
  readonly portOffset: number;
  /** The store is in the first region. */
  readonly regions: readonly [string, string];
  readonly zones: readonly ZonePlan[];
  readonly modelServiceId: string;
  readonly model: string;
  readonly plainServiceId: string;
  readonly orderPath: string;
  readonly lookupPath: string;
  readonly honoursKey: boolean;
  readonly linkDelayMs: number;
}

export function zone(
  region: string,
  suffix: string,
  counts: readonly [routers: number, engines: number, services: number],
): ZonePlan {
  const [routerCount, engineCount, serviceCount] = counts;
  return { region, availabilityZone: `${region}-${suffix}`, routerCount, engineCount, serviceCount };
}

export const DEPLOYMENTS: readonly Deployment[] = [
  {
    name: 'tundu',
    octet: 10,
    portOffset: 0,
    regions: ['nairobi', 'mombasa'],
    zones: [
      zone('nairobi', 'a', [3, 2, 1]),
      zone('nairobi', 'b', [2, 1, 1]),
      zone('mombasa', 'a', [2, 2, 1]),
    ],
    modelServiceId: 'assistant',
    model: 'assistant-small',
    plainServiceId: 'orders',
    orderPath: '/orders',
    lookupPath: '/stock',
    honoursKey: false,
    linkDelayMs: 8,
  },
  {
    name: 'botella',
    octet: 20,
    portOffset: 0,
    regions: ['golfo', 'pacifico'],
    zones: [zone('golfo', 'a', [3, 2, 1]), zone('golfo', 'b', [2, 1, 1]), zone('pacifico', 'a', [2, 1, 1])],
    modelServiceId: 'pluma',
    model: 'pluma-verse',
    plainServiceId: 'mostrador',
    orderPath: '/payments',
    lookupPath: '/lookups',
    honoursKey: false,
    linkDelayMs: 15,
  },
];
