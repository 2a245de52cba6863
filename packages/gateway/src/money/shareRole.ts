import type { GatewayContext } from '../context.ts';
import { homeRouters } from './homeRouters.ts';

export enum ShareRoleKind {
  Independent = 'independent',
  Home = 'home',
  Borrower = 'borrower',
}

/** How a router obtains an organisation's tokens. */
export type ShareRole =
  /** Small fleet: each router draws for its own demand. */
  | { readonly kind: ShareRoleKind.Independent; readonly routerCount: number }
  /** Draws in advance for the routers of its region, also before any demand is known. */
  | { readonly kind: ShareRoleKind.Home; readonly homeCount: number }
  /** Lives on loans of the home routers and draws only if none of them lends. */
  | { readonly kind: ShareRoleKind.Borrower };

/** Returns this router's role for an organisation. A draining router is not chosen by the others and draws no more in advance. */
export function shareRole(
  context: Pick<GatewayContext, 'board' | 'self'>,
  organisationName: string,
): ShareRole {
  const homes = homeRouters(context, organisationName);
  if (homes.length === 0) {
    return { kind: ShareRoleKind.Independent, routerCount: Math.max(1, context.board.routers.size) };
  }
  return homes.includes(context.self.routerId) && !context.board.draining
    ? { kind: ShareRoleKind.Home, homeCount: homes.length }
    : { kind: ShareRoleKind.Borrower };
}

/** Number of routers among which the assumed demand is divided. */
export function drawingRouterCount(role: ShareRole): number {
  switch (role.kind) {
    case ShareRoleKind.Home:
      return role.homeCount;
    case ShareRoleKind.Independent:
      return role.routerCount;
    case ShareRoleKind.Borrower:
      return 1;
  }
}
