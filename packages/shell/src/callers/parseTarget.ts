import type { Problem } from '@pimentostall/core';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { malformedRequest } from '../http/problems.ts';

export enum RouteKind {
  ChatCompletion = 'chatCompletion',
  ServiceCall = 'serviceCall',
  Entry = 'entry',
  Health = 'health',
}

export type Route =
  | { readonly kind: RouteKind.ChatCompletion | RouteKind.Entry | RouteKind.Health }
  | { readonly kind: RouteKind.ServiceCall; readonly serviceId: string; readonly path: string };

export interface Target {
  readonly route: Route;
  /** Another router redirected the caller here (`hop=1`). */
  readonly redirected: boolean;
}

const SERVICE_METHODS = new Set(['GET', 'POST', 'PUT', 'PATCH', 'DELETE']);
const SERVICE_PATH = /^\/v1\/services\/([A-Za-z0-9][A-Za-z0-9._-]{0,127})(\/.*)$/;
const SAFE_PATH = /^[\x21-\x7e]*$/;
/** A service may resolve dot segments and encoded slashes to an operation other than the one matched here. */
const AMBIGUOUS_PATH = /(^|\/)(\.|%2e){1,2}(\/|$)|%2f|%5c|\\/i;

function fixedRoute(
  kind: RouteKind.ChatCompletion | RouteKind.Entry | RouteKind.Health,
  method: string,
  expected: string,
): Result<Route, Problem> {
  return method === expected
    ? ok({ kind })
    : err(malformedRequest(405, 'Method not allowed', `Use ${expected} for this path.`));
}

function serviceRoute(method: string, path: string, query: string): Result<Route, Problem> {
  const [, serviceId, servicePath] = SERVICE_PATH.exec(path) ?? [];
  if (serviceId === undefined || servicePath === undefined) {
    return err(
      malformedRequest(404, 'Not found', `There is no route for this path. Use /v1/services/{id}/{path}.`),
    );
  }
  if (!SERVICE_METHODS.has(method)) {
    return err(
      malformedRequest(405, 'Method not allowed', 'Use GET, POST, PUT, PATCH or DELETE for a service.'),
    );
  }
  if (AMBIGUOUS_PATH.test(servicePath)) {
    return err(
      malformedRequest(400, 'Ambiguous path', 'The path may hold no dot segments and no encoded slashes.'),
    );
  }
  return ok({ kind: RouteKind.ServiceCall, serviceId, path: `${servicePath}${query}` });
}

function matchRoute(method: string, path: string, query: string): Result<Route, Problem> {
  switch (path) {
    case '/v1/chat/completions':
      return fixedRoute(RouteKind.ChatCompletion, method, 'POST');
    case '/v1/entry':
      return fixedRoute(RouteKind.Entry, method, 'GET');
    case '/v1/health':
      return fixedRoute(RouteKind.Health, method, 'GET');
    default:
      return serviceRoute(method, path, query);
  }
}

/** Matches the method and path to a route, and strips the router's own query parameter `hop`. */
export function parseTarget(method: string, target: string): Result<Target, Problem> {
  if (!target.startsWith('/') || !SAFE_PATH.test(target)) {
    return err(
      malformedRequest(400, 'Malformed path', 'The path must start with a slash and be percent-encoded.'),
    );
  }
  const queryStart = target.indexOf('?');
  const path = queryStart < 0 ? target : target.slice(0, queryStart);
  const parameters = queryStart < 0 ? [] : target.slice(queryStart + 1).split('&');
  const serviceParameters = parameters.filter((part) => part !== 'hop=1');
  const query = serviceParameters.length === 0 ? '' : `?${serviceParameters.join('&')}`;
  return matchRoute(method, path, query).map((route) => ({
    route,
    redirected: serviceParameters.length < parameters.length,
  }));
}
