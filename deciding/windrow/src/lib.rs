//! Which appliance a request goes to, whether it is let in, and the budget for further forwards.
