// The parts of undici that the router uses. The package's index also loads fetch, WebSocket, proxies and mocks, which
// take a fifth of the processor time until a router is ready.
import buildConnector from '../node_modules/undici/lib/core/connect.js';
import errors from '../node_modules/undici/lib/core/errors.js';
import Agent from '../node_modules/undici/lib/dispatcher/agent.js';
import Client from '../node_modules/undici/lib/dispatcher/client.js';
import Pool from '../node_modules/undici/lib/dispatcher/pool.js';

export { Agent, buildConnector, Client, errors, Pool };
