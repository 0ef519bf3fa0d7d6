export * from "./configurationSync.js";
export * from "./eventRecorder.js";
export * from "./membershipTask.js";
export * from "./nodeRuntime.js";
export * from "./nodeService.js";
export * from "./periodicTask.js";
export * from "./profileStore.js";
