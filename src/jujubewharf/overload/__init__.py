"""What operators see of an instance whose services are overloaded."""
