export type { SettingsFault } from './faults.ts';
export { formatFaults } from './faults.ts';
export type { RouterSettings } from './loadRouterSettings.ts';
export { loadRouterSettings, parseRouterSettings } from './loadRouterSettings.ts';
export { parseConfigurationDocument } from './parseConfigurationDocument.ts';
export { parseConfigurationSections } from './parseConfigurationSections.ts';
export type { SplitSection } from './splitSections.ts';
export { splitSections } from './splitSections.ts';
